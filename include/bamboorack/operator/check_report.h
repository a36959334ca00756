#ifndef BAMBOORACK_OPERATOR_CHECK_REPORT_H_
#define BAMBOORACK_OPERATOR_CHECK_REPORT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboorack/operator/diff.h"

namespace bamboorack::operators {

enum class Severity : std::uint8_t {
  /// Refused when it is sent, or it cannot have been meant.
  kError,
  /// Accepted, but a part of it has no effect or contradicts another part.
  kWarning,
};

inline constexpr std::array<std::string_view, 2> kSeverityNames = {"error",
                                                                   "warning"};

constexpr std::string_view NameOf(Severity severity) {
  return kSeverityNames.at(static_cast<std::size_t>(severity));
}

/// One thing that a check found in a document.
struct Finding {
  Severity severity = Severity::kError;
  /// Names the check; the same in every version.
  std::string code;
  /// Where it is, such as `services[1].upstreams[0].slots`; empty for the
  /// document as a whole.
  std::string path;
  /// The value there as JSON text; empty if there is none.
  std::string value;
  std::string message;
  /// Counted from 1; nothing if the place is not known.
  std::optional<std::size_t> line{};
};

struct CheckReport {
  /// The kind of the document; empty if it cannot be told.
  std::string kind;
  std::vector<Finding> findings;
  /// From the document in force to this one; nothing if they were not compared.
  std::optional<std::vector<DiffEntry>> differences{};

  std::size_t CountOf(Severity severity) const;
};

/// Returns one line for each finding and difference, and one with their
/// numbers. `file` is how the document is called.
std::string ToText(const CheckReport& report, const std::string& file);
std::string ToJson(const CheckReport& report);

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_CHECK_REPORT_H_
