#ifndef BAMBOORACK_CORE_REASON_H_
#define BAMBOORACK_CORE_REASON_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboorack {

/// Why a request was refused or retried. Counters, the `X-Bamboorack-Reason`
/// header and the operations page take their names from `kReasons`.
enum class Reason : std::uint8_t {
  kUnknownService,
  kMalformedRequest,
  kHeadTooLarge,
  kBodyTooLarge,
  kLengthRequired,
  kMissingDeadline,
  kBadDeadline,
  kBadRank,
  kMissingRequestId,
  kNoState,
  kNoAuthority,
  kOwnerUnreachable,
  kOwnerMoving,
  kQueueFull,
  kRingFull,
  kDeadlineWouldPass,
  kDeadlinePassed,
  kUpstreamShed,
  kUpstreamDraining,
  kUpstreamRefusedToken,
  kUpstreamRefusedOwner,
  kUpstreamLost,
  kUpstreamReplaced,
  kUpstreamBadAnswer,
  kPeerLost,
  kPeerBadFrame,
  kIdMemoryLost,
  kIdInProgress,
  kRetryBudgetEmpty,
  kStopping,
  kCancelled,
  kUpstreamAnswerCut,
  kUpstreamUnmarkedRejection,
  kEvacuated,
};

/// One row of the table of reasons.
struct ReasonInfo {
  Reason reason;
  std::string_view name;
  /// HTTP status of the answer to the caller.
  int http_status;
};

inline constexpr std::array kReasons = {
    ReasonInfo{Reason::kUnknownService, "unknown_service", 404},
    ReasonInfo{Reason::kMalformedRequest, "malformed_request", 400},
    ReasonInfo{Reason::kHeadTooLarge, "head_too_large", 431},
    ReasonInfo{Reason::kBodyTooLarge, "body_too_large", 413},
    ReasonInfo{Reason::kLengthRequired, "length_required", 411},
    ReasonInfo{Reason::kMissingDeadline, "missing_deadline", 400},
    ReasonInfo{Reason::kBadDeadline, "bad_deadline", 400},
    ReasonInfo{Reason::kBadRank, "bad_rank", 400},
    ReasonInfo{Reason::kMissingRequestId, "missing_request_id", 400},
    ReasonInfo{Reason::kNoState, "no_state", 503},
    ReasonInfo{Reason::kNoAuthority, "no_authority", 503},
    ReasonInfo{Reason::kOwnerUnreachable, "owner_unreachable", 503},
    ReasonInfo{Reason::kOwnerMoving, "owner_moving", 503},
    ReasonInfo{Reason::kQueueFull, "queue_full", 503},
    ReasonInfo{Reason::kRingFull, "ring_full", 503},
    ReasonInfo{Reason::kDeadlineWouldPass, "deadline_would_pass", 503},
    ReasonInfo{Reason::kDeadlinePassed, "deadline_passed", 504},
    ReasonInfo{Reason::kUpstreamShed, "upstream_shed", 503},
    ReasonInfo{Reason::kUpstreamDraining, "upstream_draining", 503},
    ReasonInfo{Reason::kUpstreamRefusedToken, "upstream_refused_token", 503},
    ReasonInfo{Reason::kUpstreamRefusedOwner, "upstream_refused_owner", 503},
    ReasonInfo{Reason::kUpstreamLost, "upstream_lost", 502},
    ReasonInfo{Reason::kUpstreamReplaced, "upstream_replaced", 503},
    ReasonInfo{Reason::kUpstreamBadAnswer, "upstream_bad_answer", 502},
    ReasonInfo{Reason::kPeerLost, "peer_lost", 502},
    ReasonInfo{Reason::kPeerBadFrame, "peer_bad_frame", 502},
    ReasonInfo{Reason::kIdMemoryLost, "id_memory_lost", 503},
    ReasonInfo{Reason::kIdInProgress, "id_in_progress", 409},
    ReasonInfo{Reason::kRetryBudgetEmpty, "retry_budget_empty", 503},
    ReasonInfo{Reason::kStopping, "stopping", 503},
    ReasonInfo{Reason::kCancelled, "cancelled", 499},
    ReasonInfo{Reason::kUpstreamAnswerCut, "upstream_answer_cut", 502},
    ReasonInfo{Reason::kUpstreamUnmarkedRejection,
               "upstream_unmarked_rejection", 502},
    ReasonInfo{Reason::kEvacuated, "evacuated", 503},
};

inline constexpr std::size_t kReasonCount = kReasons.size();

/// Returns the row of `reason`.
constexpr const ReasonInfo& InfoOf(Reason reason) {
  return kReasons.at(static_cast<std::size_t>(reason));
}

/// Returns the reason called `name`, or nothing if there is none.
constexpr std::optional<Reason> ReasonFromName(std::string_view name) {
  for (const ReasonInfo& info : kReasons) {
    if (info.name == name) return info.reason;
  }
  return std::nullopt;
}

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_REASON_H_
