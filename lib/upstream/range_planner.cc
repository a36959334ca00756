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
constexpr double kIdleWeight = 20;
// Keys move away from an upstream whose load is at least this multiple of its
// target and at least `kLeastExcess` requests above it. The count of a Poisson
// process of 30 requests/s varies by 12 % over the half-life.
constexpr double kDonorFactor = 1.3;
constexpr double kLeastExcess = 4;
// An upstream receives keys until its load is this multiple of its target. Well
// below `kDonorFactor`, so that keys do not move back and forth.
constexpr double kReceiverFactor = 1.1;
// A key with at least `kHotKeyPart` times the mean load of an upstream moves to
// the upstream with the highest capacity, if that capacity is more than
// `kStrongerFactor` times the capacity of the holder.
constexpr double kHotKeyPart = 0.7;
constexpr double kStrongerFactor = 1.2;
constexpr std::size_t kMaxMovesAtOnce = 200;

/// The load of one upstream and its share of the total load by capacity.
struct Account {
  RangeCandidate candidate;
  double target = 0;
  double load = 0;

  double Deficit() const { return this->target - this->load; }
};

class Round {
 public:
  Round(const std::vector<RangeView>& all_ranges,
        const std::vector<RangeCandidate>& candidates, const KeyLoad& key_load)
      : ranges(all_ranges), load(key_load) {
    double capacity = 0;
    for (const RangeCandidate& candidate : candidates) {
      capacity += candidate.capacity;
    }
    for (const RangeCandidate& candidate : candidates) {
      this->index.emplace(candidate.run, this->accounts.size());
      this->accounts.push_back(
          {candidate, load.Total() * candidate.capacity / capacity, 0});
    }
    for (const RangeView& range : this->ranges) {
      if (Account* account = this->AccountOf(range)) {
        account->load += load.Of(range.range);
      }
    }
  }

  void PlaceOrphans() {
    for (const RangeView& range : this->ranges) {
      const bool is_movable = range.is_free || range.is_settled;
      if (!is_movable || this->AccountOf(range) != nullptr) continue;
      this->Distribute(range.range);
    }
  }

  /// Moves a key that would overload most upstreams on its own to the upstream
  /// with the highest capacity.
  void PlaceHottestKey() {
    const ShardKey key = this->load.Hottest();
    const KeyRange keys{key, key};
    const double weight = this->load.Of(keys);
    const double part =
        this->load.Total() / static_cast<double>(this->accounts.size());
    if (weight < part * kHotKeyPart || weight < kLeastExcess) return;
    const auto range = std::find_if(
        this->ranges.begin(), this->ranges.end(),
        [key](const RangeView& view) { return view.range.Contains(key); });
    if (range == this->ranges.end() || !range->is_settled) return;
    Account* holder = this->AccountOf(*range);
    if (holder == nullptr) return;
    Account& strongest =
        *std::max_element(this->accounts.begin(), this->accounts.end(),
                          [](const Account& a, const Account& b) {
                            return a.candidate.capacity < b.candidate.capacity;
                          });
    const bool is_worth_it = strongest.candidate.capacity >
                             holder->candidate.capacity * kStrongerFactor;
    if (!is_worth_it) return;
    holder->load -= weight;
    this->Give(keys, strongest);
  }

  void Balance() {
    for (const RangeView& range : this->ranges) {
      Account* donor = this->AccountOf(range);
      if (donor == nullptr || !range.is_settled) continue;
      const double excess = donor->load - donor->target;
      if (donor->load < donor->target * kDonorFactor) continue;
      if (excess < kLeastExcess) continue;
      this->ShedFrom(range.range, *donor);
    }
  }

  std::vector<RangeMove> Take() { return std::move(this->moves); }

 private:
  Account* AccountOf(const RangeView& range) {
    if (!range.holder) return nullptr;
    const auto found = this->index.find(*range.holder);
    return found == this->index.end() ? nullptr
                                      : &this->accounts[found->second];
  }

  Account& NeediestAccount() {
    return *std::max_element(this->accounts.begin(), this->accounts.end(),
                             [](const Account& a, const Account& b) {
                               return a.Deficit() < b.Deficit();
                             });
  }

  void Give(const KeyRange& keys, Account& to) {
    to.load += this->load.Of(keys);
    this->moves.push_back({keys, to.candidate.run});
  }

  /// Assigns all of `keys`, in pieces that fit the deficits of the upstreams.
  void Distribute(KeyRange keys) {
    while (true) {
      Account& to = this->NeediestAccount();
      const double room = std::max(to.Deficit(), to.target * 0.1);
      ShardKey last = this->load.Cut(keys, room);
      if (this->moves.size() >= kMaxMovesAtOnce) last = keys.last;
      // A small remainder does not justify a range of its own.
      const KeyRange rest{last, keys.last};
      if (last < keys.last && this->load.Of(rest) < to.target * 0.1) {
        last = keys.last;
      }
      this->Give({keys.first, last}, to);
      if (last == keys.last) return;
      keys.first = ShardKey(static_cast<std::uint16_t>(last.value + 1));
    }
  }

  /// Moves pieces of `keys` away until the load of the donor is near its
  /// target.
  void ShedFrom(KeyRange keys, Account& donor) {
    while (this->moves.size() < kMaxMovesAtOnce) {
      const double excess = donor.load - donor.target;
      if (excess < kLeastExcess / 2) return;
      Account& to = this->NeediestAccount();
      const double room = to.target * kReceiverFactor - to.load;
      if (&to == &donor || room < kLeastExcess / 2) return;
      const ShardKey last = this->load.Cut(keys, std::min(excess, room));
      const KeyRange piece{keys.first, last};
      const double weight = this->load.Of(piece);
      // A single key that overloads its holder would overload any other
      // upstream.
      const bool helps =
          (to.load + weight) / to.target < donor.load / donor.target;
      if (helps && last != keys.last) {
        donor.load -= weight;
        this->Give(piece, to);
      }
      if (last == keys.last) return;
      keys.first = ShardKey(static_cast<std::uint16_t>(last.value + 1));
    }
  }

  const std::vector<RangeView>& ranges;
  const KeyLoad& load;
  std::vector<Account> accounts;
  std::map<UpstreamRun, std::size_t> index;
  std::vector<RangeMove> moves;
};

}  // namespace

KeyLoad::KeyLoad() : counts(kKeyCount, 0.0F), sums(kKeyCount + 1, 0.0) {
  this->Sum();
}

void KeyLoad::Add(ShardKey key, double requests) {
  this->counts.at(key.value) += static_cast<float>(requests);
}

void KeyLoad::Decay(MonotonicTime now) {
  if (this->decayed_at == MonotonicTime{}) this->decayed_at = now;
  const double halves =
      std::chrono::duration<double>(now - this->decayed_at) / kHalfLife;
  const auto factor = static_cast<float>(std::exp2(-halves));
  for (float& count : this->counts) count *= factor;
  this->decayed_at = now;
}

void KeyLoad::Sum() {
  constexpr double kIdleKey = kIdleWeight / static_cast<double>(kKeyCount);
  for (std::size_t i = 0; i < kKeyCount; ++i) {
    this->sums[i + 1] =
        this->sums[i] + kIdleKey + static_cast<double>(this->counts[i]);
  }
}

double KeyLoad::Of(const KeyRange& range) const {
  return this->sums.at(std::size_t{range.last.value} + 1) -
         this->sums.at(range.first.value);
}

ShardKey KeyLoad::Hottest() const {
  const auto hottest =
      std::max_element(this->counts.begin(), this->counts.end());
  return ShardKey(static_cast<std::uint16_t>(hottest - this->counts.begin()));
}

ShardKey KeyLoad::Cut(const KeyRange& range, double weight) const {
  const double limit = this->sums.at(range.first.value) + weight;
  const auto begin = this->sums.begin() + range.first.value + 1;
  const auto end = this->sums.begin() + range.last.value + 2;
  const auto above = std::upper_bound(begin, end, limit);
  const auto taken = std::max<std::ptrdiff_t>(above - begin, 1);
  return ShardKey(static_cast<std::uint16_t>(range.first.value + taken - 1));
}

std::vector<RangeMove> RangePlanner::Plan(
    const std::vector<RangeView>& ranges,
    const std::vector<RangeCandidate>& candidates, const KeyLoad& load) {
  if (candidates.empty()) return {};
  Round round(ranges, candidates, load);
  round.PlaceOrphans();
  round.PlaceHottestKey();
  round.Balance();
  return round.Take();
}

}  // namespace bamboorack::upstream
