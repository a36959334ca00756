#include "bamboorack/upstream/range_planner.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <utility>

namespace bamboorack::upstream {
namespace {

constexpr std::size_t kKeyCount = 65'536;
// Base weight of all keys together, in requests.
constexpr double kTotalBaseWeight = 20;
// Keys move away from an upstream whose load is at least this multiple of its
// target and at least `kMinExcessRequests` requests above it. The count of a
// Poisson process of 30 requests/s varies by 12 % over the half-life.
constexpr double kOverloadFactor = 1.3;
constexpr double kMinExcessRequests = 4;
// An upstream receives keys until its load is this multiple of its target. Well
// below `kOverloadFactor`, so that keys do not move back and forth.
constexpr double kReceiverFactor = 1.1;
// A key with at least `kHotKeyFactor` times the mean load of an upstream moves
// to the upstream with the highest capacity, if that capacity is more than
// `kMinCapacityRatio` times the capacity of the holder.
constexpr double kHotKeyFactor = 0.7;
constexpr double kMinCapacityRatio = 1.2;
constexpr std::size_t kMaxMovesPerPlan = 200;

/// The load of one upstream and its share of the total load by capacity.
struct UpstreamLoad {
  RangeCandidate candidate;
  double target = 0;
  double load = 0;

  double Deficit() const { return this->target - this->load; }
};

class PlanBuilder {
 public:
  PlanBuilder(const std::vector<RangeView>& all_ranges,
              const std::vector<RangeCandidate>& candidates,
              const KeyLoad& key_load)
      : ranges(all_ranges), load(key_load) {
    double capacity = 0;
    for (const RangeCandidate& candidate : candidates) {
      capacity += candidate.capacity;
    }
    for (const RangeCandidate& candidate : candidates) {
      this->index.emplace(candidate.run, this->upstreams.size());
      this->upstreams.push_back(
          {candidate, load.Total() * candidate.capacity / capacity, 0});
    }
    for (const RangeView& range : this->ranges) {
      if (UpstreamLoad* holder_load = this->HolderOf(range)) {
        holder_load->load += load.WeightOf(range.range);
      }
    }
  }

  void AssignOrphanedRanges() {
    for (const RangeView& range : this->ranges) {
      const bool is_movable = range.is_free || range.is_settled;
      if (!is_movable || this->HolderOf(range) != nullptr) continue;
      this->AssignKeys(range.range);
    }
  }

  /// Moves a key that would overload most upstreams on its own to the upstream
  /// with the highest capacity.
  void MoveHottestKey() {
    const ShardKey key = this->load.HottestKey();
    const KeyRange keys{key, key};
    const double weight = this->load.WeightOf(keys);
    const double mean_load =
        this->load.Total() / static_cast<double>(this->upstreams.size());
    if (weight < mean_load * kHotKeyFactor || weight < kMinExcessRequests)
      return;
    const auto range = std::find_if(
        this->ranges.begin(), this->ranges.end(),
        [key](const RangeView& view) { return view.range.Contains(key); });
    if (range == this->ranges.end() || !range->is_settled) return;
    UpstreamLoad* holder = this->HolderOf(*range);
    if (holder == nullptr) return;
    UpstreamLoad& strongest =
        *std::max_element(this->upstreams.begin(), this->upstreams.end(),
                          [](const UpstreamLoad& a, const UpstreamLoad& b) {
                            return a.candidate.capacity < b.candidate.capacity;
                          });
    const bool is_capacity_sufficient =
        strongest.candidate.capacity >
        holder->candidate.capacity * kMinCapacityRatio;
    if (!is_capacity_sufficient) return;
    holder->load -= weight;
    this->AddMove(keys, strongest);
  }

  void Balance() {
    for (const RangeView& range : this->ranges) {
      UpstreamLoad* donor = this->HolderOf(range);
      if (donor == nullptr || !range.is_settled) continue;
      const double excess = donor->load - donor->target;
      if (donor->load < donor->target * kOverloadFactor) continue;
      if (excess < kMinExcessRequests) continue;
      this->ShedLoad(range.range, *donor);
    }
  }

  std::vector<RangeMove> TakeMoves() { return std::move(this->moves); }

 private:
  UpstreamLoad* HolderOf(const RangeView& range) {
    if (!range.holder) return nullptr;
    const auto found = this->index.find(*range.holder);
    return found == this->index.end() ? nullptr
                                      : &this->upstreams[found->second];
  }

  UpstreamLoad& UpstreamWithLargestDeficit() {
    return *std::max_element(this->upstreams.begin(), this->upstreams.end(),
                             [](const UpstreamLoad& a, const UpstreamLoad& b) {
                               return a.Deficit() < b.Deficit();
                             });
  }

  void AddMove(const KeyRange& keys, UpstreamLoad& to) {
    to.load += this->load.WeightOf(keys);
    this->moves.push_back({keys, to.candidate.run});
  }

  /// Assigns all of `keys`, in pieces that fit the deficits of the upstreams.
  void AssignKeys(KeyRange keys) {
    while (true) {
      UpstreamLoad& to = this->UpstreamWithLargestDeficit();
      const double headroom = std::max(to.Deficit(), to.target * 0.1);
      ShardKey last = this->load.LastKeyWithin(keys, headroom);
      if (this->moves.size() >= kMaxMovesPerPlan) last = keys.last;
      // A small remainder does not justify a range of its own.
      const KeyRange rest{last, keys.last};
      if (last < keys.last && this->load.WeightOf(rest) < to.target * 0.1) {
        last = keys.last;
      }
      this->AddMove({keys.first, last}, to);
      if (last == keys.last) return;
      keys.first = ShardKey(static_cast<std::uint16_t>(last.value + 1));
    }
  }

  /// Moves pieces of `keys` away until the load of the donor is near its
  /// target.
  void ShedLoad(KeyRange keys, UpstreamLoad& donor) {
    while (this->moves.size() < kMaxMovesPerPlan) {
      const double excess = donor.load - donor.target;
      if (excess < kMinExcessRequests / 2) return;
      UpstreamLoad& to = this->UpstreamWithLargestDeficit();
      const double headroom = to.target * kReceiverFactor - to.load;
      if (&to == &donor || headroom < kMinExcessRequests / 2) return;
      const ShardKey last =
          this->load.LastKeyWithin(keys, std::min(excess, headroom));
      const KeyRange piece{keys.first, last};
      const double weight = this->load.WeightOf(piece);
      // A single key that overloads its holder would overload any other
      // upstream.
      const bool improves_balance =
          (to.load + weight) / to.target < donor.load / donor.target;
      if (improves_balance && last != keys.last) {
        donor.load -= weight;
        this->AddMove(piece, to);
      }
      if (last == keys.last) return;
      keys.first = ShardKey(static_cast<std::uint16_t>(last.value + 1));
    }
  }

  const std::vector<RangeView>& ranges;
  const KeyLoad& load;
  std::vector<UpstreamLoad> upstreams;
  std::map<UpstreamRun, std::size_t> index;
  std::vector<RangeMove> moves;
};

}  // namespace

KeyLoad::KeyLoad()
    : request_counts(kKeyCount, 0.0F), prefix_sums(kKeyCount + 1, 0.0) {
  this->UpdatePrefixSums();
}

void KeyLoad::Add(ShardKey key, double requests) {
  this->request_counts.at(key.value) += static_cast<float>(requests);
}

void KeyLoad::Decay(MonotonicTime now) {
  if (this->decayed_at == MonotonicTime{}) this->decayed_at = now;
  const double half_lives =
      std::chrono::duration<double>(now - this->decayed_at) / kHalfLife;
  const auto factor = static_cast<float>(std::exp2(-half_lives));
  for (float& count : this->request_counts) count *= factor;
  this->decayed_at = now;
}

void KeyLoad::UpdatePrefixSums() {
  constexpr double kBaseKeyWeight =
      kTotalBaseWeight / static_cast<double>(kKeyCount);
  for (std::size_t i = 0; i < kKeyCount; ++i) {
    this->prefix_sums[i + 1] = this->prefix_sums[i] + kBaseKeyWeight +
                               static_cast<double>(this->request_counts[i]);
  }
}

double KeyLoad::WeightOf(const KeyRange& range) const {
  return this->prefix_sums.at(std::size_t{range.last.value} + 1) -
         this->prefix_sums.at(range.first.value);
}

ShardKey KeyLoad::HottestKey() const {
  const auto hottest = std::max_element(this->request_counts.begin(),
                                        this->request_counts.end());
  return ShardKey(
      static_cast<std::uint16_t>(hottest - this->request_counts.begin()));
}

ShardKey KeyLoad::LastKeyWithin(const KeyRange& range, double weight) const {
  const double limit = this->prefix_sums.at(range.first.value) + weight;
  const auto begin = this->prefix_sums.begin() + range.first.value + 1;
  const auto end = this->prefix_sums.begin() + range.last.value + 2;
  const auto above = std::upper_bound(begin, end, limit);
  const auto taken = std::max<std::ptrdiff_t>(above - begin, 1);
  return ShardKey(static_cast<std::uint16_t>(range.first.value + taken - 1));
}

std::vector<RangeMove> RangePlanner::Plan(
    const std::vector<RangeView>& ranges,
    const std::vector<RangeCandidate>& candidates, const KeyLoad& load) {
  if (candidates.empty()) return {};
  PlanBuilder builder(ranges, candidates, load);
  builder.AssignOrphanedRanges();
  builder.MoveHottestKey();
  builder.Balance();
  return builder.TakeMoves();
}

}  // namespace bamboorack::upstream
