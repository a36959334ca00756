#ifndef BAMBOORACK_TOOLS_FAKES_PLATFORM_UPSTREAM_MALFORMED_ANSWER_H_
#define BAMBOORACK_TOOLS_FAKES_PLATFORM_UPSTREAM_MALFORMED_ANSWER_H_

#include <cstdint>
#include <string>

namespace bamboorack::fakes {

/// Turns a whole answer with a Content-Length and the status 200 into one that
/// no client may take for an HTTP message. Consecutive numbers give different
/// faults: a control character or a blank in the name of a header, a broken
/// length before half of the body, the status 000.
std::string Malform(std::string answer, std::uint64_t number);

}  // namespace bamboorack::fakes

#endif  // BAMBOORACK_TOOLS_FAKES_PLATFORM_UPSTREAM_MALFORMED_ANSWER_H_
