#ifndef BAMBOORACK_OPERATOR_DOCUMENT_CHECK_H_
#define BAMBOORACK_OPERATOR_DOCUMENT_CHECK_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboorack/operator/check_report.h"
#include "bamboorack/operator/document_lines.h"

namespace bamboorack::operators {

/// How one kind of document is checked. Lines are filled in by
/// `CheckDocument`.
class DocumentKind {
 public:
  DocumentKind() = default;
  virtual ~DocumentKind() = default;
  DocumentKind(const DocumentKind&) = delete;
  DocumentKind& operator=(const DocumentKind&) = delete;

  virtual std::string_view Name() const = 0;
  /// Whether a document with these fields is meant to be of this kind.
  virtual bool Recognizes(const DocumentLines& fields) const = 0;
  /// Returns what breaks the format. `text` is a JSON document.
  virtual std::vector<Finding> FindFormatFaults(
      const std::string& text) const = 0;
  /// Returns what is wrong or without effect in `text`, which may replace
  /// `in_force`. Neither breaks the format.
  virtual std::vector<Finding> FindContradictions(
      const std::string& text,
      const std::optional<std::string>& in_force) const = 0;
  /// Returns the differences of two documents that do not break the format.
  virtual std::vector<DiffEntry> Compare(const std::string& before,
                                         const std::string& after) const = 0;
};

/// The product's own documents.
const DocumentKind& InventoryKind();
const DocumentKind& RulesKind();

using DocumentKinds = std::vector<const DocumentKind*>;

struct CheckRequest {
  std::string text;
  /// The document that `text` is to replace.
  std::optional<std::string> in_force{};
  /// The name of the kind; told from the fields if empty.
  std::string kind{};
};

/// Checks the document in three steps, syntax, format and content, and stops
/// after a step that found errors: later steps would only follow from them.
/// The first of `kinds` that recognizes the document is used.
CheckReport CheckDocument(const DocumentKinds& kinds,
                          const CheckRequest& request);

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_DOCUMENT_CHECK_H_
