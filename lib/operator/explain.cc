#include "bamboorack/operator/explain.h"

#include <algorithm>
#include <utility>

#include "bamboorack/core/hash.h"

namespace bamboorack::operators {
namespace {

/// Returns the last accepted entry of `kind` for `group` up to `at`.
std::optional<HistoryEntry> LastOf(const std::vector<HistoryEntry>& entries,
                                   EntryKind kind, const GroupId& group,
                                   const std::optional<WallTime>& at) {
  const auto found = std::find_if(
      entries.rbegin(), entries.rend(), [&](const HistoryEntry& entry) {
        return entry.kind == kind && entry.group == group &&
               entry.verdict == Verdict::kAccepted &&
               (!at || entry.time <= *at);
      });
  if (found == entries.rend()) return std::nullopt;
  return *found;
}

}  // namespace

Explainer::Explainer(KeyQuestion asked)
    : question(std::move(asked)), key_hash(HashText(this->question.key)) {}

void Explainer::Observe(const LogRecord& record, Verdict verdict,
                        const ClusterState& after) {
  if (verdict == Verdict::kDuplicate) return;
  HistoryEntry entry;
  entry.offset = record.offset;
  entry.time = record.time;
  entry.verdict = verdict;
  entry.rules_revision = after.rules_revision;
  std::visit([&](const auto& body) { this->Note(body, entry); },
             record.record.body);
  if (verdict != Verdict::kAccepted) return;
  if (std::holds_alternative<SnapshotPiece>(record.record.body)) {
    for (const auto& [group, authority] : after.authorities) {
      this->authorities[group] = authority.daemon;
    }
  }
  this->TrackPlace(after, std::move(entry));
}

Explainer::Place Explainer::FindPlace(const ClusterState& state) const {
  const ServiceEntry* service = state.FindService(this->question.service);
  const auto shards = state.shards.find(this->question.service);
  if (service == nullptr || shards == state.shards.end()) return {};
  const ShardId shard = state.ShardOf(*service, this->key_hash);
  if (shard.value >= shards->second.size()) return {};
  const ShardState& found = shards->second[shard.value];
  return Place{true, shard, found.group, found.owner};
}

void Explainer::Note(const InventoryPublished& /*body*/, HistoryEntry& entry) {
  entry.kind = EntryKind::kInventory;
  this->entries.push_back(entry);
}

void Explainer::Note(const RulesPublished& /*body*/, HistoryEntry& entry) {
  entry.kind = EntryKind::kRules;
  this->entries.push_back(entry);
}

void Explainer::Note(const AuthorityTaken& body, HistoryEntry& entry) {
  if (body.group.service != this->question.service) return;
  const bool is_accepted = entry.verdict == Verdict::kAccepted;
  entry.kind = EntryKind::kAuthorityTaken;
  entry.group = body.group;
  entry.cause = body.cause;
  entry.daemon = body.daemon;
  entry.other_daemon = this->authorities[body.group];
  entry.token =
      is_accepted ? FencingToken(entry.offset.value) : body.base_token;
  this->entries.push_back(entry);
  if (is_accepted) this->authorities[body.group] = body.daemon;
}

void Explainer::Note(const AuthorityReleased& body, HistoryEntry& entry) {
  if (body.group.service != this->question.service) return;
  entry.kind = EntryKind::kAuthorityReleased;
  entry.group = body.group;
  entry.token = body.token;
  entry.daemon = this->authorities[body.group];
  entry.other_daemon = body.to_daemon;
  this->entries.push_back(entry);
}

void Explainer::Note(const ShardsAssigned& body, HistoryEntry& entry) {
  if (body.group.service != this->question.service) return;
  entry.kind = EntryKind::kOwner;
  entry.group = body.group;
  entry.cause = body.cause;
  entry.proof = body.proof;
  entry.token = body.token;
  entry.daemon = body.daemon;
  const auto change = std::find_if(
      body.changes.begin(), body.changes.end(), [&](const ShardChange& item) {
        return this->current.is_known && item.shard == this->current.shard;
      });
  if (change == body.changes.end()) return;
  entry.shard = change->shard;
  entry.from = change->from;
  entry.to = change->to;
  this->entries.push_back(entry);
}

void Explainer::Note(const UpstreamDeclaredLost& body, HistoryEntry& entry) {
  entry.kind = EntryKind::kDeclaredLost;
  entry.from = body.upstream;
  entry.operator_name = body.operator_name;
  this->entries.push_back(entry);
}

void Explainer::Note(const SnapshotPiece& /*body*/, HistoryEntry& entry) {
  entry.kind = EntryKind::kOwner;
}

/// Notes where the key is now. Rules can give the key another shard and a
/// snapshot can bring a whole state, so the state decides, not the record.
void Explainer::TrackPlace(const ClusterState& after, HistoryEntry entry) {
  Place place = this->FindPlace(after);
  const bool is_assignment = entry.kind == EntryKind::kOwner && entry.shard;
  if (place == this->current && !is_assignment) return;
  if (!is_assignment && place.is_known) {
    const bool had_place = this->current.is_known;
    entry.kind = EntryKind::kOwner;
    entry.group = place.group;
    entry.shard = place.shard;
    entry.from = had_place ? this->current.owner : std::nullopt;
    entry.to = place.owner;
    if (had_place || place.owner) this->entries.push_back(entry);
  }
  this->current = place;
  PlaceAt reached{entry.time, std::move(place), {}};
  if (reached.place.owner || is_assignment) reached.decision = std::move(entry);
  this->places.push_back(std::move(reached));
}

Explanation Explainer::Answer() const {
  Explanation answer;
  answer.question = this->question;
  answer.history = this->entries;
  const auto found = std::find_if(
      this->places.rbegin(), this->places.rend(), [&](const PlaceAt& item) {
        return !this->question.at || item.time <= *this->question.at;
      });
  if (found == this->places.rend()) return answer;
  answer.is_known = found->place.is_known;
  answer.shard = found->place.shard;
  answer.group = found->place.group;
  answer.owner = found->place.owner;
  answer.decision = found->decision;
  answer.authority = LastOf(this->entries, EntryKind::kAuthorityTaken,
                            answer.group, this->question.at);
  // Authorities of groups that never held the key's shard do not explain it.
  std::set<GroupId> groups;
  for (const PlaceAt& item : this->places) groups.insert(item.place.group);
  std::erase_if(answer.history, [&](const HistoryEntry& entry) {
    return entry.group && !groups.contains(*entry.group);
  });
  return answer;
}

}  // namespace bamboorack::operators
