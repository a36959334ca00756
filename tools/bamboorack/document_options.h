#ifndef BAMBOORACK_TOOLS_BAMBOORACK_DOCUMENT_OPTIONS_H_
#define BAMBOORACK_TOOLS_BAMBOORACK_DOCUMENT_OPTIONS_H_

#include <CLI/CLI.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/record.h"
#include "bamboorack/operator/diff.h"
#include "bamboorack/operator/status.h"

namespace bamboorack::tools {

/// Bounds reading or appending to the log.
inline constexpr std::chrono::milliseconds kLogTimeout{10'000};
inline constexpr const char* kLogIsMissing = "--log ADDRESS:PORT is missing";

/// The file that a command publishes or compares; one of the two is set.
struct DocumentOptions {
  std::string inventory_file;
  std::string rules_file;
};

/// Adds `--inventory` and `--rules`, of which exactly one must be given.
void AddDocumentOptions(CLI::App& command, DocumentOptions& options);

/// A document that can be published: an inventory or rules.
class PublishedDocument {
 public:
  virtual ~PublishedDocument() = default;
  PublishedDocument() = default;
  PublishedDocument(const PublishedDocument&) = delete;
  PublishedDocument& operator=(const PublishedDocument&) = delete;

  /// Returns the revision of this kind of document in `state`.
  virtual Revision InForce(const ClusterState& state) const = 0;
  /// Returns the same from a daemon's status.
  virtual Revision InForce(const operators::RevisionsInForce& status) const = 0;
  virtual std::vector<operators::DiffEntry> DiffTo(
      const ClusterState& state) const = 0;
  virtual RecordBody MakeBody(Revision base) const = 0;
};

/// Reads and checks the document, or prints all its problems and returns null.
std::unique_ptr<PublishedDocument> LoadDocument(const DocumentOptions& options);

}  // namespace bamboorack::tools

#endif  // BAMBOORACK_TOOLS_BAMBOORACK_DOCUMENT_OPTIONS_H_
