#ifndef BAMBOORACK_DAEMON_ROUTER_POLICY_H_
#define BAMBOORACK_DAEMON_ROUTER_POLICY_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "bamboorack/core/rank.h"
#include "bamboorack/core/reason.h"
#include "bamboorack/core/request.h"

namespace bamboorack::daemon {

/// The retry, settling and cancellation rules for requests of one rank.
struct RankPolicy {
  Rank rank;
  /// Whether the id is remembered so that the request runs at most once.
  bool is_once_only;
  /// Whether to retry if an earlier attempt may have run.
  bool retries_unknown;
  /// Whether to ask the upstream if an attempt without an answer has run.
  bool settles_unknown;
  /// Whether to cancel an attempt in flight when its last caller is gone.
  bool cancels_in_flight;
};

inline constexpr std::array<RankPolicy, kRankCount> kRankPolicies = {{
    {Rank::kLookup, false, true, false, true},
    {Rank::kOnce, true, false, true, false},
    {Rank::kBulk, false, false, true, false},
}};

constexpr const RankPolicy& PolicyOf(Rank rank) {
  return kRankPolicies.at(IndexOf(rank));
}

/// The action of an authority after an attempt that ended without an answer.
enum class FailureAction : std::uint8_t {
  kGiveUp,
  /// Requeue the request immediately.
  kRetry,
  /// Requeue the request, and send nothing to this upstream for
  /// `kUpstreamPause`.
  kPauseAndRetry,
  /// Requeue the request, and send nothing to this upstream until a new routing
  /// table arrives or `kTablePause` has passed.
  kAwaitTableAndRetry,
};

struct FailurePolicy {
  Reason reason;
  FailureAction action;
  /// Whether the reason shows that the upstream is overloaded.
  bool is_overload;
};

/// Attempts that end with a reason not listed here are not retried.
inline constexpr std::array kFailurePolicies = {
    FailurePolicy{Reason::kUpstreamShed, FailureAction::kRetry, true},
    FailurePolicy{Reason::kUpstreamLost, FailureAction::kPauseAndRetry, false},
    FailurePolicy{Reason::kUpstreamBadAnswer, FailureAction::kRetry, false},
    FailurePolicy{Reason::kUpstreamAnswerCut, FailureAction::kRetry, false},
    FailurePolicy{Reason::kUpstreamDraining, FailureAction::kAwaitTableAndRetry,
                  false},
    FailurePolicy{Reason::kUpstreamRefusedToken,
                  FailureAction::kAwaitTableAndRetry, false},
    FailurePolicy{Reason::kUpstreamRefusedOwner,
                  FailureAction::kAwaitTableAndRetry, false},
};

constexpr FailurePolicy FailurePolicyOf(Reason reason) {
  for (const FailurePolicy& policy : kFailurePolicies) {
    if (policy.reason == reason) return policy;
  }
  return {reason, FailureAction::kGiveUp, false};
}

/// Refusals that a new routing table can resolve. The request is parked until a
/// table resolves it, for at most `kMaxParkTime`.
inline constexpr std::array kParkedReasons = {Reason::kNoAuthority,
                                              Reason::kOwnerMoving};

/// Refusals of a forwarded request after which the entry daemon retries once
/// when the group has a new authority.
inline constexpr std::array kReroutedReasons = {
    Reason::kNoAuthority, Reason::kPeerLost, Reason::kStopping,
    Reason::kUpstreamRefusedToken};

template <std::size_t Count>
constexpr bool Contains(const std::array<Reason, Count>& reasons,
                        Reason reason) {
  for (const Reason candidate : reasons) {
    if (candidate == reason) return true;
  }
  return false;
}

/// Attempts per request at its authority, including the first.
inline constexpr int kMaxAttempts = 3;
/// Time after the deadline to wait for an answer that is already on its way,
/// before the request ends as "unknown".
inline constexpr std::chrono::milliseconds kAnswerGrace{20};
/// The same at the entry daemon, longer because the answer has one more hop.
inline constexpr std::chrono::milliseconds kForwardGrace{40};
/// Time after the deadline at which a missing dispatch result counts as lost.
inline constexpr std::chrono::milliseconds kResultGrace{2000};
inline constexpr std::chrono::milliseconds kSettleInterval{50};
inline constexpr std::chrono::milliseconds kSettleTimeout{500};
inline constexpr std::chrono::milliseconds kUpstreamPause{50};
inline constexpr std::chrono::milliseconds kTablePause{200};
/// Equal to the target for the time in which a key is served again.
inline constexpr std::chrono::milliseconds kMaxParkTime{2000};
inline constexpr std::size_t kMaxParkedRequests = 4096;

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_ROUTER_POLICY_H_
