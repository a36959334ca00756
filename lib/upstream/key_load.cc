#include "bamboorack/upstream/key_load.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace bamboorack::upstream {
namespace {

constexpr std::size_t kKeyCount = 65'536;
// Base weight of all keys together, in requests.
constexpr double kTotalBaseWeight = 20;

}  // namespace

KeyLoad::KeyLoad(std::chrono::milliseconds count_half_life)
    : half_life(count_half_life),
      request_counts(kKeyCount, 0.0F),
      prefix_sums(kKeyCount + 1, 0.0) {
  this->UpdatePrefixSums();
}

void KeyLoad::Add(ShardKey key, double requests) {
  this->request_counts.at(key.value) += static_cast<float>(requests);
}

void KeyLoad::Decay(MonotonicTime now) {
  if (this->decayed_at == MonotonicTime{}) this->decayed_at = now;
  const double half_lives =
      std::chrono::duration<double>(now - this->decayed_at) / this->half_life;
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

std::vector<ShardKey> KeyLoad::KeysFrom(double requests) const {
  std::vector<ShardKey> keys;
  for (std::size_t i = 0; i < kKeyCount; ++i) {
    if (static_cast<double>(this->request_counts[i]) < requests) continue;
    keys.emplace_back(static_cast<std::uint16_t>(i));
  }
  return keys;
}

ShardKey KeyLoad::LastKeyWithin(const KeyRange& range, double weight) const {
  const double limit = this->prefix_sums.at(range.first.value) + weight;
  const auto begin = this->prefix_sums.begin() + range.first.value + 1;
  const auto end = this->prefix_sums.begin() + range.last.value + 2;
  const auto above = std::upper_bound(begin, end, limit);
  const auto taken = std::max<std::ptrdiff_t>(above - begin, 1);
  return ShardKey(static_cast<std::uint16_t>(range.first.value + taken - 1));
}

void ServiceKeyLoad::Add(ShardKey key, double requests) {
  this->steady.Add(key, requests);
  this->recent.Add(key, requests);
}

void ServiceKeyLoad::Update(MonotonicTime now) {
  for (KeyLoad* load : {&this->steady, &this->recent}) {
    load->Decay(now);
    load->UpdatePrefixSums();
  }
}

}  // namespace bamboorack::upstream
