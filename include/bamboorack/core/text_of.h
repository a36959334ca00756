#ifndef BAMBOORACK_CORE_TEXT_OF_H_
#define BAMBOORACK_CORE_TEXT_OF_H_

#include <sstream>
#include <string>

namespace bamboorack {

/// Returns what `value` prints.
template <typename Value>
std::string TextOf(const Value& value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_TEXT_OF_H_
