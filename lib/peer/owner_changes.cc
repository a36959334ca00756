#include "bamboorack/peer/owner_changes.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboorack::peer {
namespace {

using Starts = std::set<std::uint32_t>;

void AddStarts(Starts& starts, const KeyRange& range) {
  starts.insert(range.first.value);
  starts.insert(std::uint32_t{range.last.value} + 1);
}

/// Returns the row that holds `key`, or null. `RangeOf` gives a row's keys.
template <typename Row, typename RangeOf>
const Row* FindRow(const std::vector<Row>& rows, ShardKey key,
                   RangeOf range_of) {
  const auto found = std::lower_bound(
      rows.begin(), rows.end(), key,
      [&](const Row& row, ShardKey k) { return range_of(row).last < k; });
  if (found == rows.end() || !range_of(*found).Contains(key)) return nullptr;
  return &*found;
}

const KeyRange& RangeOf(const HashedRange& row) { return row.range; }

/// Calls `visit` with each range between two neighbours of `starts`.
template <typename Visit>
void VisitPieces(const Starts& starts, Visit visit) {
  for (auto start = starts.begin(); start != starts.end(); ++start) {
    const auto next = std::next(start);
    if (next == starts.end()) return;
    visit(KeyRange{ShardKey(static_cast<std::uint16_t>(*start)),
                   ShardKey(static_cast<std::uint16_t>(*next - 1))});
  }
}

bool Follows(const KeyRange& range, const KeyRange& before) {
  return std::uint32_t{before.last.value} + 1 == range.first.value;
}

std::vector<HashedRange> Overlaid(const std::vector<HashedRange>& rows,
                                  const std::vector<HashedRange>& changes) {
  Starts starts;
  for (const HashedRange& row : rows) AddStarts(starts, row.range);
  for (const HashedRange& row : changes) AddStarts(starts, row.range);
  std::vector<HashedRange> merged;
  VisitPieces(starts, [&](const KeyRange& piece) {
    const HashedRange* row = FindRow(changes, piece.first, &RangeOf);
    if (row == nullptr) row = FindRow(rows, piece.first, &RangeOf);
    if (row == nullptr) return;
    const bool continues = !merged.empty() &&
                           merged.back().owner == row->owner &&
                           Follows(piece, merged.back().range);
    if (continues) {
      merged.back().range.last = piece.last;
    } else {
      merged.push_back({piece, row->owner});
    }
  });
  return merged;
}

}  // namespace

void OwnerChanges::Update(const OwnerMapVersion& version,
                          const HashedOwners& owners) {
  if (this->term != version.term) this->services.clear();
  this->term = version.term;
  for (const auto& [service, ranges] : owners) {
    std::vector<Row>& rows = this->services[service];
    rows = Updated(rows, ranges, version.change);
  }
}

std::vector<OwnerChanges::Row> OwnerChanges::Updated(
    const std::vector<Row>& rows, const std::vector<HashedRange>& ranges,
    std::uint64_t change) {
  const auto range_of_row = [](const Row& row) -> const KeyRange& {
    return row.range.range;
  };
  Starts starts;
  for (const Row& row : rows) AddStarts(starts, row.range.range);
  for (const HashedRange& row : ranges) AddStarts(starts, row.range);
  std::vector<Row> updated;
  VisitPieces(starts, [&](const KeyRange& piece) {
    const HashedRange* now = FindRow(ranges, piece.first, &RangeOf);
    if (now == nullptr) return;
    const Row* before = FindRow(rows, piece.first, range_of_row);
    const bool is_same = before != nullptr && before->range.owner == now->owner;
    const std::uint64_t changed_at = is_same ? before->changed_at : change;
    const bool continues = !updated.empty() &&
                           updated.back().range.owner == now->owner &&
                           updated.back().changed_at == changed_at &&
                           Follows(piece, updated.back().range.range);
    if (continues) {
      updated.back().range.range.last = piece.last;
    } else {
      updated.push_back({{piece, now->owner}, changed_at});
    }
  });
  return updated;
}

HashedOwners OwnerChanges::Since(std::uint64_t change) const {
  HashedOwners changes;
  for (const auto& [service, rows] : this->services) {
    for (const Row& row : rows) {
      if (row.changed_at > change) changes[service].push_back(row.range);
    }
  }
  return changes;
}

void Overlay(HashedOwners& owners, const HashedOwners& changes) {
  for (const auto& [service, rows] : changes) {
    std::vector<HashedRange>& known = owners[service];
    known = Overlaid(known, rows);
  }
}

}  // namespace bamboorack::peer
