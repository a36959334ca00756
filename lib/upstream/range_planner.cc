#include "bamboorack/upstream/range_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <map>
#include <utility>

namespace bamboorack::upstream {
namespace {

// Keys move away from an upstream whose load is at least this multiple of its
// target, at least `kMinExcessRequests` requests above it, and above it by at
// least `kSignificance` standard deviations of a Poisson process.
constexpr double kOverloadFactor = 1.3;
constexpr double kMinExcessRequests = 4;
constexpr double kSignificance = 4;
// The recent load holds fewer requests, so chance reaches further from the
// middle of the distribution.
constexpr double kSurgeSignificance = 5;
// A move makes its keys unavailable for some 100 ms, so that it is only worth
// it for at least this part of the receiver's target.
constexpr double kMinPiecePart = 0.08;
// An upstream receives keys until its load is this multiple of its target. Well
// below `kOverloadFactor`, so that keys do not move back and forth.
constexpr double kReceiverFactor = 1.1;
// An upstream with less than this part of its target gets keys from those that
// are above their targets, even if none is overloaded.
constexpr double kStarvedFactor = 0.5;
// One with less than this part has next to no keys, whatever chance says.
constexpr double kEmptyFactor = 0.1;
// A range has become hotter if its recent load is above the steady one by this
// many standard deviations. Only the load of receivers depends on it, and only
// upwards, so it may be wrong more often than `kSignificance`.
constexpr double kRangeSignificance = 2.5;
// Variance of the count of a range that is hardly ever requested.
constexpr double kMinVariance = 0.25;
// The load of keys that have just become hot is taken for at most this multiple
// of what has been counted so far.
constexpr double kMaxGrowth = 4;
// A key with at least `kHotKeyFactor` times the mean load of an upstream moves
// from an overloaded upstream to the one with the highest capacity left by
// other such keys, if that is more than `kMinCapacityRatio` times what it has
// at its holder.
constexpr double kHotKeyFactor = 0.7;
constexpr double kMinCapacityRatio = 1.2;
constexpr std::size_t kMaxHotKeys = 64;
constexpr std::size_t kMaxMovesPerPlan = 200;

/// The variance of a decayed count whose mean is `mean`.
double VarianceOf(double mean) { return mean / 2 + kMinVariance; }

/// The load of one upstream, in requests within the window of the steady load.
struct UpstreamLoad {
  RangeCandidate candidate;
  double share = 0;
  double target = 0;
  /// What it sheds by.
  double load = 0;
  /// What it receives by: at least `load`, and more if a range of it has become
  /// hotter.
  double received = 0;
  double steady = 0;
  double recent = 0;
  /// Its load has risen so fast that the steady load does not show it yet.
  bool is_surging = false;
  /// Converts the recent weight of its keys into steady weight if it surges.
  double scale = 1;
  /// The load of its keys that are too hot for most upstreams.
  double hot = 0;
  /// Whether it may receive keys of others.
  bool is_receiver = true;

  double Deficit() const { return this->target - this->received; }
  double Excess() const { return this->load - this->target; }
  bool IsOverloaded() const {
    return this->load >= this->target * kOverloadFactor &&
           this->Excess() >=
               std::max(kMinExcessRequests,
                        kSignificance * std::sqrt(VarianceOf(this->target)));
  }
  bool IsSurging() const { return this->is_surging && this->IsOverloaded(); }
  bool IsStarved() const {
    const bool is_empty = this->received < this->target * kEmptyFactor &&
                          this->target >= kMinExcessRequests / 2;
    return is_empty ||
           (this->received < this->target * kStarvedFactor &&
            this->Deficit() >=
                std::max(kMinExcessRequests,
                         kSignificance * std::sqrt(VarianceOf(this->target))));
  }
  bool MayFeedStarved() const {
    return this->load > this->target * kReceiverFactor;
  }
};

/// The smallest load that is worth a move to or from an upstream.
double MinPiece(const UpstreamLoad& row) {
  return std::max(kMinExcessRequests / 2, row.target * kMinPiecePart);
}

/// Whether the receiver is better off with `piece` than the donor. A single key
/// that exceeds the receiver's headroom overloads any upstream, so it moves
/// only for a clear gain; otherwise it would follow each change of the
/// estimates.
bool ImprovesBalance(const KeyRange& piece, double weight, double headroom,
                     const UpstreamLoad& donor, const UpstreamLoad& to) {
  const bool is_hot_key = piece.first == piece.last && weight > headroom;
  const double margin = is_hot_key ? kMinCapacityRatio : 1;
  return (to.received + weight) / to.target * margin <
         donor.load / donor.target;
}

class PlanBuilder {
 public:
  /// `recent_load` may be null.
  PlanBuilder(const std::vector<RangeView>& all_ranges,
              const std::vector<RangeCandidate>& candidates,
              const std::vector<double>& shares, const KeyLoad& steady_load,
              const KeyLoad* recent_load)
      : ranges(all_ranges), steady(steady_load), recent(recent_load) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      this->index.emplace(candidates[i].run, i);
      UpstreamLoad& row = this->upstreams.emplace_back();
      row.candidate = candidates[i];
      row.share = shares.at(i);
    }
    for (const RangeView& range : this->ranges) {
      UpstreamLoad* holder = this->HolderOf(range);
      if (holder == nullptr) continue;
      holder->steady += this->steady.WeightOf(range.range);
      if (this->recent == nullptr) continue;
      holder->recent += this->recent->WeightOf(range.range);
    }
    this->SetRecentScale();
    for (const RangeView& range : this->ranges) {
      UpstreamLoad* holder = this->HolderOf(range);
      if (holder == nullptr) continue;
      holder->received += this->ReceivedWeightOf(range.range);
    }
    double total = this->steady.Total();
    for (UpstreamLoad& row : this->upstreams) {
      this->EstimateLoad(row);
      total += row.load - row.steady;
    }
    for (UpstreamLoad& row : this->upstreams) row.target = total * row.share;
  }

  void AssignOrphanedRanges() {
    for (const RangeView& range : this->ranges) {
      const bool is_movable = range.is_free || range.is_settled;
      if (!is_movable || this->HolderOf(range) != nullptr) continue;
      this->AssignKeys(range.range);
    }
  }

  /// Moves keys that would overload most upstreams on their own to those where
  /// they leave the most capacity to others like them.
  void MoveHotKeys() {
    const double mean_load =
        this->steady.Total() / static_cast<double>(this->upstreams.size());
    std::vector<HotKey> keys;
    for (const ShardKey key : this->steady.KeysFrom(
             std::max(mean_load * kHotKeyFactor, kMinExcessRequests))) {
      const RangeView* range = this->RangeWith(key);
      UpstreamLoad* holder =
          range == nullptr ? nullptr : this->HolderOf(*range);
      if (holder == nullptr) continue;
      const double weight = this->steady.WeightOf({key, key});
      holder->hot += weight;
      if (range->is_settled) keys.push_back({{key, key}, weight, holder});
    }
    std::sort(keys.begin(), keys.end(), [](const HotKey& a, const HotKey& b) {
      return a.weight > b.weight;
    });
    if (keys.size() > kMaxHotKeys) keys.resize(kMaxHotKeys);
    for (const HotKey& key : keys) this->MoveHotKey(key);
  }

  /// Moves keys away from upstreams that surge, then from those that are
  /// overloaded, then to those that have far too few.
  void Balance() {
    this->ShedFrom(&UpstreamLoad::IsSurging);
    this->ShedFrom(&UpstreamLoad::IsOverloaded);
    bool has_starved = false;
    for (UpstreamLoad& row : this->upstreams) {
      row.is_receiver = row.IsStarved();
      has_starved |= row.is_receiver;
    }
    if (has_starved) this->ShedFrom(&UpstreamLoad::MayFeedStarved);
  }

  std::vector<RangeMove> TakeMoves() { return std::move(this->moves); }

 private:
  using Condition = bool (UpstreamLoad::*)() const;

  struct HotKey {
    KeyRange keys;
    double weight = 0;
    UpstreamLoad* holder = nullptr;
  };

  void MoveHotKey(const HotKey& key) {
    if (!key.holder->IsOverloaded()) return;
    const auto capacity_with_key = [&key](const UpstreamLoad& row) {
      const double others = row.hot - (&row == key.holder ? key.weight : 0);
      return row.candidate.capacity * key.weight / (key.weight + others);
    };
    UpstreamLoad& strongest =
        *std::max_element(this->upstreams.begin(), this->upstreams.end(),
                          [&](const UpstreamLoad& a, const UpstreamLoad& b) {
                            return capacity_with_key(a) < capacity_with_key(b);
                          });
    const bool is_capacity_sufficient =
        capacity_with_key(strongest) >
        capacity_with_key(*key.holder) * kMinCapacityRatio;
    if (!is_capacity_sufficient) return;
    key.holder->hot -= key.weight;
    strongest.hot += key.weight;
    this->AddMove(key.keys, this->PieceWeight(key.keys, *key.holder),
                  key.holder, strongest);
  }

  UpstreamLoad* HolderOf(const RangeView& range) {
    if (!range.holder) return nullptr;
    const auto found = this->index.find(*range.holder);
    return found == this->index.end() ? nullptr
                                      : &this->upstreams[found->second];
  }

  const RangeView* RangeWith(ShardKey key) const {
    // Ranges are ordered and do not overlap.
    const auto range = std::partition_point(
        this->ranges.begin(), this->ranges.end(),
        [key](const RangeView& view) { return view.range.last < key; });
    return range == this->ranges.end() ? nullptr : &*range;
  }

  /// Sets how much steady weight a key has for each unit of recent weight, if
  /// it became neither hotter nor cooler than others. Half of the upstreams
  /// have more and half have less, so that a few hot ones do not matter, nor
  /// does a change of all.
  void SetRecentScale() {
    std::vector<double> scales;
    for (const UpstreamLoad& row : this->upstreams) {
      if (row.recent > 0) scales.push_back(row.steady / row.recent);
    }
    if (scales.empty()) return;
    const auto middle =
        scales.begin() + static_cast<std::ptrdiff_t>(scales.size() / 2);
    std::nth_element(scales.begin(), middle, scales.end());
    this->recent_scale = std::max(1.0, *middle);
  }

  double ReceivedWeightOf(const KeyRange& range) const {
    const double steady_weight = this->steady.WeightOf(range);
    if (this->recent == nullptr) return steady_weight;
    const double recent_weight = this->recent->WeightOf(range);
    const double expected = steady_weight / this->recent_scale;
    const bool is_hotter = recent_weight - expected >
                           kRangeSignificance * std::sqrt(VarianceOf(expected));
    return is_hotter ? recent_weight * this->recent_scale : steady_weight;
  }

  /// Sets the load, and whether the upstream surges: then the load follows from
  /// the recent requests alone, as they will be when their rate has lasted for
  /// the whole window.
  void EstimateLoad(UpstreamLoad& row) const {
    row.load = row.steady;
    if (this->recent == nullptr) return;
    const double expected = this->recent->Total() * row.share;
    const double recent_excess = row.recent - expected;
    row.is_surging =
        row.recent > expected * kOverloadFactor &&
        recent_excess > kSurgeSignificance * std::sqrt(VarianceOf(expected)) &&
        row.recent * this->recent_scale > row.steady * kOverloadFactor;
    if (!row.is_surging) return;
    const double steady_excess =
        std::max(row.steady - this->steady.Total() * row.share, recent_excess);
    // A request counts less in the recent load the older it is, so the ratio of
    // both excesses tells for how long the excess has lasted, in windows of the
    // recent load.
    const double lasted = 2 * (1 - recent_excess / steady_excess);
    const double counted_part = 1 - std::exp(-lasted);
    const double growth = 1 / std::clamp(counted_part, 1 / kMaxGrowth, 1.0);
    row.scale = this->recent_scale * growth;
    row.load = row.recent * row.scale;
    row.received = std::max(row.received, row.load);
  }

  UpstreamLoad& UpstreamWithLargestDeficit() {
    return *std::max_element(this->upstreams.begin(), this->upstreams.end(),
                             [](const UpstreamLoad& a, const UpstreamLoad& b) {
                               return a.Deficit() < b.Deficit();
                             });
  }

  double PieceWeight(const KeyRange& keys, const UpstreamLoad& holder) const {
    return holder.is_surging ? this->recent->WeightOf(keys) * holder.scale
                             : this->steady.WeightOf(keys);
  }

  ShardKey LastKeyWithin(const KeyRange& keys, double weight,
                         const UpstreamLoad& holder) const {
    return holder.is_surging
               ? this->recent->LastKeyWithin(keys, weight / holder.scale)
               : this->steady.LastKeyWithin(keys, weight);
  }

  void AddMove(const KeyRange& keys, double weight, UpstreamLoad* from,
               UpstreamLoad& to) {
    if (from != nullptr) {
      from->load -= weight;
      from->received -= weight;
    }
    to.load += weight;
    to.received += weight;
    this->moves.push_back({keys, to.candidate.run});
  }

  /// Assigns all of `keys`, in pieces that fit the deficits of the upstreams.
  void AssignKeys(KeyRange keys) {
    while (true) {
      UpstreamLoad& to = this->UpstreamWithLargestDeficit();
      const double headroom = std::max(to.Deficit(), to.target * 0.1);
      ShardKey last = this->steady.LastKeyWithin(keys, headroom);
      if (this->moves.size() >= kMaxMovesPerPlan) last = keys.last;
      // A small remainder does not justify a range of its own.
      const KeyRange rest{last, keys.last};
      if (last < keys.last && this->steady.WeightOf(rest) < to.target * 0.1) {
        last = keys.last;
      }
      const KeyRange piece{keys.first, last};
      this->AddMove(piece, this->steady.WeightOf(piece), nullptr, to);
      if (last == keys.last) return;
      keys.first = ShardKey(static_cast<std::uint16_t>(last.value + 1));
    }
  }

  void ShedFrom(Condition must_shed) {
    for (const RangeView& range : this->ranges) {
      UpstreamLoad* donor = this->HolderOf(range);
      if (donor == nullptr || !range.is_settled) continue;
      if ((donor->*must_shed)()) this->ShedLoad(range.range, *donor);
    }
  }

  /// Moves pieces of `keys` away until the load of the donor is near its
  /// target.
  void ShedLoad(KeyRange keys, UpstreamLoad& donor) {
    while (this->moves.size() < kMaxMovesPerPlan) {
      const double excess = donor.Excess();
      if (excess < MinPiece(donor)) return;
      UpstreamLoad& to = this->UpstreamWithLargestDeficit();
      const double headroom = to.target * kReceiverFactor - to.received;
      if (!to.is_receiver || &to == &donor) return;
      if (headroom < MinPiece(to)) return;
      const ShardKey last =
          this->LastKeyWithin(keys, std::min(excess, headroom), donor);
      const KeyRange piece{keys.first, last};
      const double weight = this->PieceWeight(piece, donor);
      if (ImprovesBalance(piece, weight, headroom, donor, to)) {
        this->AddMove(piece, weight, &donor, to);
      }
      if (last == keys.last) return;
      keys.first = ShardKey(static_cast<std::uint16_t>(last.value + 1));
    }
  }

  const std::vector<RangeView>& ranges;
  const KeyLoad& steady;
  const KeyLoad* recent;
  double recent_scale = 1;
  std::vector<UpstreamLoad> upstreams;
  std::map<UpstreamRun, std::size_t> index;
  std::vector<RangeMove> moves;
};

std::vector<RangeMove> PlanWith(const std::vector<RangeView>& ranges,
                                const std::vector<RangeCandidate>& candidates,
                                const std::vector<double>& shares,
                                const KeyLoad& steady, const KeyLoad* recent) {
  if (candidates.empty()) return {};
  PlanBuilder builder(ranges, candidates, shares, steady, recent);
  builder.AssignOrphanedRanges();
  builder.MoveHotKeys();
  builder.Balance();
  return builder.TakeMoves();
}

}  // namespace

std::vector<RangeMove> RangePlanner::Plan(
    const std::vector<RangeView>& ranges,
    const std::vector<RangeCandidate>& candidates,
    const std::vector<double>& shares, const ServiceKeyLoad& load) {
  return PlanWith(ranges, candidates, shares, load.Steady(), &load.Recent());
}

std::vector<RangeMove> RangePlanner::Plan(
    const std::vector<RangeView>& ranges,
    const std::vector<RangeCandidate>& candidates, const KeyLoad& load) {
  return PlanWith(ranges, candidates, ShareByCapacity().Shares(candidates, 0),
                  load, nullptr);
}

}  // namespace bamboorack::upstream
