#ifndef BAMBOORACK_UPSTREAM_UPSTREAM_BOARD_H_
#define BAMBOORACK_UPSTREAM_UPSTREAM_BOARD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_registry.h"

namespace bamboorack::upstream {

/// How a request to an upstream ended, as far as it tells about the upstream.
enum class UpstreamOutcome : std::uint8_t {
  kAnswered,
  /// The upstream answered with a failure of its own.
  kFailed,
  /// The upstream refused because it is full.
  kFull,
  /// The connection failed, or the answer was not one.
  kLost,
  /// No answer in time.
  kTimedOut,
  /// Another upstream has its address, so this run has ended.
  kReplaced,
  /// Ended for a reason that says nothing about the upstream.
  kNeutral,
};

/// What this daemon knows of the upstreams that it sends to, and which of them
/// a request goes to.
///
/// Load patterns: several daemons share upstreams of a few slots, so each
/// counts the others' requests by their reports; dozens of daemons meet at one
/// upstream when a key turns hot, so while there is no room each sends one in
/// its turn; an upstream that refuses,
/// fails or turns slow gets less, without emptying a service; a service at its
/// limit keeps what waits in the daemons, where it can be ordered.
class UpstreamBoard {
 public:
  /// `seed` makes the choices of different daemons differ.
  UpstreamBoard(FailureDomain own_domain, std::uint64_t seed);

  void SetUpstreams(const std::vector<RegisteredUpstream>& entries,
                    MonotonicTime now);
  /// What another daemon has in flight, for all upstreams at once.
  void SetPeerLoad(const DaemonId& peer,
                   const std::map<UpstreamId, std::uint32_t>& in_flight,
                   MonotonicTime now);

  void OnSent(const UpstreamId& id, MonotonicTime now);
  /// `latency` and `usual` are compared to learn the upstream's speed; `usual`
  /// is the mean latency of such requests, 0 if unknown.
  void OnEnded(const UpstreamId& id, UpstreamOutcome outcome,
               std::chrono::nanoseconds latency, std::chrono::nanoseconds usual,
               MonotonicTime now);

  /// Returns the entry of an upstream that may get new requests, or null.
  const RegisteredUpstream* Find(const UpstreamId& id) const;
  /// Whether the upstream may get requests for keys that it holds. One that is
  /// draining still may for `kDrainingUse`, until its keys have moved.
  bool MayServeKeys(const UpstreamId& id, MonotonicTime now) const;
  /// Whether the upstream can take one more request now.
  bool HasRoom(const UpstreamId& id, MonotonicTime now) const;
  /// Whether a request that is sent now would wait for a slot there.
  bool IsContended(const UpstreamId& id, MonotonicTime now) const;
  /// Returns the best upstream of a service with room, or nothing. Skips
  /// `tried`.
  std::optional<UpstreamId> Choose(const ServiceName& service,
                                   const std::set<UpstreamId>& tried,
                                   MonotonicTime now);
  /// Whether the service has an upstream that is not draining.
  bool HasAny(const ServiceName& service) const;

  std::uint32_t OwnInFlight(const UpstreamId& id) const;
  /// Latency against the mean; 1 is average, 0 if nothing was learned.
  double LatencyRatio(const UpstreamId& id) const;
  /// The same, if something was learned since the last call; otherwise 0.
  double TakeNewRatio(const UpstreamId& id);
  std::vector<UpstreamId> Ids() const;
  /// Whether the upstream gets no requests for now, since it failed several in
  /// a row or another one has its address.
  bool IsEjected(const UpstreamId& id, MonotonicTime now) const;
  /// Lets one request through to an ejected upstream from time to time, to
  /// find out whether it is back.
  bool TakeProbe(const UpstreamId& id, MonotonicTime now);

 private:
  /// Less than the time within which a leaving upstream must get no new work,
  /// by the time that the news takes.
  static constexpr std::chrono::milliseconds kDrainingUse{900};

  struct Row {
    RegisteredUpstream entry;
    /// Another upstream has its address; only a new run changes that.
    bool is_replaced = false;
    /// Set while the upstream is draining or not listed any more.
    std::optional<MonotonicTime> draining_since;
    std::uint32_t in_flight = 0;
    MonotonicTime last_sent;
    /// Smoothed time that a request takes there; 0 before the first answer.
    std::chrono::nanoseconds latency{0};
    /// Smoothed; 0 before the first answer.
    double latency_ratio = 0;
    bool has_new_ratio = false;
    /// Requests that it may have in hand, lowered by refusals.
    double limit = 1;
    MonotonicTime limit_updated;
    /// Smoothed share of requests that failed.
    double failure_share = 0;
    int failures_in_a_row = 0;
    MonotonicTime ejected_until;
    int ejections = 0;
    MonotonicTime next_probe;
  };

  struct PeerLoad {
    std::map<UpstreamId, std::uint32_t> in_flight;
    MonotonicTime at;
  };

  double InHand(const Row& row, MonotonicTime now) const;
  std::size_t ActivePeers(MonotonicTime now) const;
  /// Returns a number from 1 to 1 + `kChoiceSpread`.
  double DrawSpread();
  double LimitOf(const Row& row, MonotonicTime now) const;
  double Score(const Row& row, MonotonicTime now) const;
  void LowerLimit(Row& row, MonotonicTime now);
  void Eject(Row& row, MonotonicTime now);
  double EjectedShare(const ServiceName& service, MonotonicTime now) const;

  const FailureDomain domain;
  std::uint64_t random_state;
  std::map<UpstreamId, Row> rows;
  std::map<DaemonId, PeerLoad> peers;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_UPSTREAM_BOARD_H_
