#ifndef BAMBOORACK_DAEMON_ROUTER_POLICY_H_
#define BAMBOORACK_DAEMON_ROUTER_POLICY_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "bamboorack/core/rank.h"
#include "bamboorack/core/reason.h"
#include "bamboorack/core/request.h"

namespace bamboorack::daemon {

/// How requests of one rank are treated.
struct RankPolicy {
  Rank rank;
  /// The id is remembered, and the request runs at most once.
  bool is_once_only;
  /// May be sent again although an earlier attempt may have run.
  bool retries_unknown;
  /// The upstream is asked what became of an attempt without an answer.
  bool settles_unknown;
  /// An attempt that was sent is cancelled when nobody waits any more.
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

/// What an authority does after an attempt that ended without an answer.
enum class AfterFailure : std::uint8_t {
  kGiveUp,
  /// Queue it again at once.
  kRetry,
  /// Send nothing to this upstream for `kUpstreamPause`, and queue it again.
  kPauseAndRetry,
  /// Send nothing to this upstream until a new table comes or `kTablePause`
  /// has passed, and queue it again.
  kAwaitTableAndRetry,
};

struct FailurePolicy {
  Reason reason;
  AfterFailure after;
  /// The upstream is overloaded.
  bool is_shed;
};

/// Reasons that are not listed are given up.
inline constexpr std::array kFailurePolicies = {
    FailurePolicy{Reason::kUpstreamShed, AfterFailure::kRetry, true},
    FailurePolicy{Reason::kUpstreamLost, AfterFailure::kPauseAndRetry, false},
    FailurePolicy{Reason::kUpstreamBadAnswer, AfterFailure::kRetry, false},
    FailurePolicy{Reason::kUpstreamDraining, AfterFailure::kAwaitTableAndRetry,
                  false},
    FailurePolicy{Reason::kUpstreamRefusedToken,
                  AfterFailure::kAwaitTableAndRetry, false},
    FailurePolicy{Reason::kUpstreamRefusedOwner,
                  AfterFailure::kAwaitTableAndRetry, false},
};

constexpr FailurePolicy FailurePolicyOf(Reason reason) {
  for (const FailurePolicy& policy : kFailurePolicies) {
    if (policy.reason == reason) return policy;
  }
  return {reason, AfterFailure::kGiveUp, false};
}

/// Refusals that a change of the routing table can remedy: the request waits
/// for one, at most `kMaxParkTime`.
inline constexpr std::array kParkedReasons = {Reason::kNoAuthority,
                                              Reason::kOwnerMoving};

/// Refusals of a forwarded request after which the entry daemon tries once
/// more when the group has another authority.
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

/// First attempt and retries of one request at its authority.
inline constexpr int kMaxAttempts = 3;
/// An ending that is already under way at the deadline is worth more than
/// "unknown".
inline constexpr std::chrono::milliseconds kAnswerGrace{20};
/// The same at the entry daemon, for an answer that has one hop to go.
inline constexpr std::chrono::milliseconds kForwardGrace{40};
/// After deadline and this time a missing result of a dispatch counts as lost.
inline constexpr std::chrono::milliseconds kResultGrace{2000};
inline constexpr std::chrono::milliseconds kSettleInterval{50};
inline constexpr std::chrono::milliseconds kSettleTimeout{500};
inline constexpr std::chrono::milliseconds kUpstreamPause{50};
inline constexpr std::chrono::milliseconds kTablePause{200};
/// The target for the time after which a key is served again.
inline constexpr std::chrono::milliseconds kMaxParkTime{2000};
inline constexpr std::size_t kMaxParked = 4096;

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_ROUTER_POLICY_H_
