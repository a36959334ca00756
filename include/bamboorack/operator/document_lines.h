#ifndef BAMBOORACK_OPERATOR_DOCUMENT_LINES_H_
#define BAMBOORACK_OPERATOR_DOCUMENT_LINES_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bamboorack/operator/check_report.h"

namespace bamboorack::operators {

/// On which line each field of a JSON document stands, and what is wrong with
/// its syntax.
class DocumentLines {
 public:
  explicit DocumentLines(const std::string& text);

  /// Whether the text is a JSON document. If not, the fields before the fault
  /// are known.
  bool IsJson() const { return this->is_json; }
  /// The fault of syntax, if there is one, and fields that are given twice.
  const std::vector<Finding>& Faults() const { return this->faults; }
  bool Has(const std::string& path) const { return this->lines.contains(path); }
  /// Returns the line of the field at `path`. If there is no such field, that
  /// of the closest one around it; nothing if there is none either.
  std::optional<std::size_t> LineOf(std::string path) const;

 private:
  std::map<std::string, std::size_t> lines;
  std::vector<Finding> faults;
  bool is_json = true;
};

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_DOCUMENT_LINES_H_
