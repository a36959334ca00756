#ifndef BAMBOORACK_CORE_EVACUATIONS_H_
#define BAMBOORACK_CORE_EVACUATIONS_H_

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"

namespace bamboorack {

/// The evacuated failure domains. No request goes to an upstream there, except
/// that until the time given a request for a key may go to the key's owner, so
/// that keys can move with their handover first.
using EvacuatedDomains = std::map<FailureDomain, MonotonicTime>;

/// One record of the operator's orders, which are kept by domain.
struct EvacuationRecord {
  FailureDomain domain;
  /// The order is taken back.
  bool is_removal = false;
};

/// What one update changed.
struct EvacuationChanges {
  std::vector<FailureDomain> ordered;
  std::vector<FailureDomain> ended;

  bool IsEmpty() const { return this->ordered.empty() && this->ended.empty(); }
};

/// The operator's orders to evacuate failure domains, from the records of the
/// log.
///
/// The bound counts from the log's acknowledgement of the order, which this
/// process does not see. It sees when the log last had nothing new, and the
/// order came after that. So the deadline counts from there: a process that
/// learns of an order late, or reads an old one after its start, has less time
/// or none.
class Evacuations {
 public:
  /// After `evacuation_time` from the acknowledgement of an order no request
  /// may reach the domain.
  explicit Evacuations(std::chrono::milliseconds evacuation_time)
      : bound(evacuation_time) {}

  /// Takes records in their order in the log. If `is_complete`, they are all
  /// that the log holds, and any other order has ended.
  EvacuationChanges Apply(const std::vector<EvacuationRecord>& records,
                          bool is_complete);
  /// Records that all orders acknowledged before `at` are known.
  void SetKnownUntil(MonotonicTime at);
  /// The process did not run for `length`, which its clock did not count.
  void OnSuspended(std::chrono::nanoseconds length);

  bool Contains(const FailureDomain& domain) const {
    return this->domains.contains(domain);
  }
  const EvacuatedDomains& Domains() const { return this->domains; }

 private:
  const std::chrono::milliseconds bound;
  EvacuatedDomains domains;
  /// Orders acknowledged before this time are known.
  std::optional<MonotonicTime> known_until;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_EVACUATIONS_H_
