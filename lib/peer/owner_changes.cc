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

/// Returns the row that holds `key`, or null.
template <typename Row>
const Row* FindRow(const std::vector<Row>& rows, ShardKey key) {
  const auto found = std::lower_bound(
      rows.begin(), rows.end(), key,
      [](const Row& row, ShardKey k) { return row.range.last < k; });
  if (found == rows.end() || !found->range.Contains(key)) return nullptr;
  return &*found;
}

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

/// Appends `row`, or lengthens the last row if that differs in its keys only
/// and ends where `row` begins.
template <typename Row>
void AppendRow(std::vector<Row>& rows, const Row& row) {
  if (!rows.empty()) {
    Row longer = rows.back();
    const bool follows =
        std::uint32_t{longer.range.last.value} + 1 == row.range.first.value;
    longer.range = row.range;
    if (follows && longer == row) {
      rows.back().range.last = row.range.last;
      return;
    }
  }
  rows.push_back(row);
}

std::vector<HashedRange> Overlaid(const std::vector<HashedRange>& rows,
                                  const std::vector<HashedRange>& changes) {
  Starts starts;
  for (const HashedRange& row : rows) AddStarts(starts, row.range);
  for (const HashedRange& row : changes) AddStarts(starts, row.range);
  std::vector<HashedRange> merged;
  VisitPieces(starts, [&](const KeyRange& piece) {
    const HashedRange* row = FindRow(changes, piece.first);
    if (row == nullptr) row = FindRow(rows, piece.first);
    if (row != nullptr) AppendRow(merged, {piece, row->owner});
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
  Starts starts;
  for (const Row& row : rows) AddStarts(starts, row.range);
  for (const HashedRange& row : ranges) AddStarts(starts, row.range);
  std::vector<Row> updated;
  VisitPieces(starts, [&](const KeyRange& piece) {
    const HashedRange* now = FindRow(ranges, piece.first);
    if (now == nullptr) return;
    const Row* before = FindRow(rows, piece.first);
    const bool is_same = before != nullptr && before->owner == now->owner;
    AppendRow(updated,
              {piece, now->owner, is_same ? before->changed_at : change});
  });
  return updated;
}

HashedOwners OwnerChanges::Since(std::uint64_t change) const {
  HashedOwners changes;
  for (const auto& [service, rows] : this->services) {
    for (const Row& row : rows) {
      if (row.changed_at <= change) continue;
      changes[service].push_back({row.range, row.owner});
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
