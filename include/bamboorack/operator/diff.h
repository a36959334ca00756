#ifndef BAMBOORACK_OPERATOR_DIFF_H_
#define BAMBOORACK_OPERATOR_DIFF_H_

#include <Poco/JSON/Array.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bamboorack/core/config.h"

namespace bamboorack::operators {

enum class DiffKind : std::uint8_t { kAdded, kRemoved, kChanged };

inline constexpr std::array<std::string_view, 3> kDiffKindNames = {
    "added", "removed", "changed"};

constexpr std::string_view NameOf(DiffKind kind) {
  return kDiffKindNames.at(static_cast<std::size_t>(kind));
}

/// One difference between two documents.
struct DiffEntry {
  DiffKind kind = DiffKind::kChanged;
  /// Entries of lists are named by id, name or value, not by position:
  /// `services[reader].upstreams[u1].slots`.
  std::string path;
  /// JSON text; empty if the entry is added.
  std::string before;
  /// JSON text; empty if the entry is removed.
  std::string after;
};

/// Returns what a change from `before` to `after` adds, removes and changes,
/// in the order of paths. The order of list entries does not matter.
std::vector<DiffEntry> Diff(const Inventory& before, const Inventory& after);
std::vector<DiffEntry> Diff(const Rules& before, const Rules& after);
/// The same for two JSON documents of any kind. Both must be valid JSON.
std::vector<DiffEntry> DiffDocuments(const std::string& before,
                                     const std::string& after);

/// Returns one line for each entry.
std::string ToText(const std::vector<DiffEntry>& entries);
std::string ToJson(const std::vector<DiffEntry>& entries);
Poco::JSON::Array::Ptr ToJsonArray(const std::vector<DiffEntry>& entries);

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_DIFF_H_
