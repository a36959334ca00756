#include "upstream/simulated_log.h"

namespace bamboorack::upstream {

Verdict SimulatedLog::Append(const Record& record) {
  this->records.push_back(
      {LogOffset(this->records.size() + 1), this->wall_time, record});
  const Verdict verdict = this->head.Apply(this->records.back());
  this->history.push_back(OwnersOf(this->head.State()));
  return verdict;
}

bool SimulatedLog::CatchUp(LogReader& reader, std::size_t count) const {
  for (std::size_t i = reader.State().next_offset.value - 1; i < count; ++i) {
    reader.Apply(this->records[i]);
  }
  const std::size_t position = reader.State().next_offset.value - 1;
  return position == 0 ||
         OwnersOf(reader.State()) == this->history[position - 1];
}

std::vector<std::optional<UpstreamRef>> OwnersOf(const ClusterState& state) {
  std::vector<std::optional<UpstreamRef>> owners;
  for (const auto& [service, shards] : state.shards) {
    for (const ShardState& shard : shards) owners.push_back(shard.owner);
  }
  return owners;
}

}  // namespace bamboorack::upstream
