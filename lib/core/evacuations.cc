#include "bamboorack/core/evacuations.h"

#include <algorithm>
#include <utility>

namespace bamboorack {
namespace {

using std::chrono::milliseconds;

// From the last decision to send a request until it has reached the upstream: a
// connection takes up to 200 ms, and the threads and the link need some time.
constexpr milliseconds kSendTime{700};

}  // namespace

EvacuationChanges Evacuations::Apply(
    const std::vector<EvacuationRecord>& records, bool is_complete) {
  const MonotonicTime deadline =
      this->known_until
          ? *this->known_until + this->bound - std::min(kSendTime, this->bound)
          : MonotonicTime{};
  EvacuatedDomains before = std::exchange(this->domains, {});
  if (!is_complete) this->domains = before;
  for (const EvacuationRecord& record : records) {
    if (record.is_removal) {
      this->domains.erase(record.domain);
      continue;
    }
    const auto known = before.find(record.domain);
    this->domains.insert_or_assign(
        record.domain, known == before.end() ? deadline : known->second);
  }
  EvacuationChanges changes;
  for (const auto& [domain, until] : this->domains) {
    if (!before.contains(domain)) changes.ordered.push_back(domain);
  }
  for (const auto& [domain, until] : before) {
    if (!this->domains.contains(domain)) changes.ended.push_back(domain);
  }
  return changes;
}

void Evacuations::SetKnownUntil(MonotonicTime at) {
  this->known_until = std::max(this->known_until.value_or(at), at);
}

void Evacuations::OnSuspended(std::chrono::nanoseconds length) {
  // Other orders may have been given since.
  this->known_until.reset();
  for (auto& [domain, until] : this->domains) until -= length;
}

}  // namespace bamboorack
