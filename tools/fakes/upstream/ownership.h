#ifndef BAMBOORACK_TOOLS_FAKES_UPSTREAM_OWNERSHIP_H_
#define BAMBOORACK_TOOLS_FAKES_UPSTREAM_OWNERSHIP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bamboorack/core/time.h"

namespace bamboorack::fakes {

/// What an upstream checks before it carries out an order.
struct OwnershipSettings {
  std::string instance;
  bool checks_tokens = true;
  /// Whether requests are refused once the lease of their shard has expired.
  bool checks_lease = true;
};

/// Why an order of an authority is refused.
enum class OrderError : std::uint8_t {
  kStaleToken,
  kOtherInstance,
  kLeaseExpired,
};

/// What every order of an authority names.
struct Order {
  std::string group;
  std::string instance;
  std::uint64_t token = 0;
};

struct Grant {
  std::uint64_t token = 0;
  std::set<std::uint32_t> shards;
  UpstreamReading lease_until;
};

/// What a data request says about its owner.
struct RequestOrder {
  std::string service;
  std::uint32_t shard = 0;
  std::uint64_t token = 0;
  /// Counts the attempts under one token.
  std::uint64_t dispatch = 0;
  std::string instance;
  UpstreamReading deadline;
  std::string request_id;
};

enum class RequestState : std::uint8_t { kUnseen, kPending, kDone };

/// The rules by which one upstream instance accepts and refuses orders and
/// requests. Pure: the caller gives the time and locks.
class Ownership {
 public:
  explicit Ownership(OwnershipSettings settings);

  /// Refuses tokens below `order.token` from now on. Returns the grant of the
  /// group, if there was one.
  std::optional<OrderError> Fence(const Order& order);
  /// Replaces the grant of the group. The lease ends `lease` after `echoed`, a
  /// reading of this upstream's clock that the authority received earlier.
  std::optional<OrderError> SetGrant(const Order& order, UpstreamReading echoed,
                                     std::chrono::milliseconds lease,
                                     bool only_if_unexpired,
                                     const std::vector<std::uint32_t>& shards,
                                     UpstreamReading now);
  /// Takes `shards` out of the grant of the group.
  std::optional<OrderError> Revoke(const Order& order,
                                   const std::vector<std::uint32_t>& shards);
  /// Returns the grant of `group`, or null.
  const Grant* FindGrant(const std::string& group) const;
  std::uint64_t HighestToken() const;

  /// Returns the value of `X-Not-Run` if the request must not run at `now`.
  std::optional<std::string_view> FindRefusal(const RequestOrder& request,
                                              UpstreamReading now) const;
  /// Returns the value of `X-Not-Run` if the request must not run, else marks
  /// it as pending.
  std::optional<std::string_view> Admit(const RequestOrder& request,
                                        bool is_draining, UpstreamReading now);
  /// The request ran. Called once for each admitted request that ran.
  void MarkRan(const RequestOrder& request);
  /// The request was admitted but did not run.
  void MarkNotRun(const RequestOrder& request);
  /// Whether a request on one of `shards` of the service of `group` is pending.
  bool HasPending(const std::string& group,
                  const std::vector<std::uint32_t>& shards) const;

  /// Returns `done`, `running` or `not_run`. Attempts of an id that did not run
  /// are refused from now on, up to the one that `through` names.
  std::string_view Settle(const RequestOrder& through);
  /// How often each request id ran.
  const std::map<std::string, int>& Runs() const { return this->runs; }

 private:
  std::optional<OrderError> CheckOrder(const Order& order);
  bool IsOwner(const RequestOrder& request, UpstreamReading now) const;
  bool HasStaleToken(const RequestOrder& request) const;
  bool IsFenced(const RequestOrder& request) const;
  void EndPending(const RequestOrder& request);

  OwnershipSettings settings;
  std::map<std::string, std::uint64_t> highest_tokens;
  std::map<std::string, Grant> grants;
  std::map<std::string, int> runs;
  std::multiset<std::string> pending_ids;
  std::multiset<std::pair<std::string, std::uint32_t>> pending_shards;
  /// The last refused attempt of each id: token and dispatch.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> fenced;
};

}  // namespace bamboorack::fakes

#endif  // BAMBOORACK_TOOLS_FAKES_UPSTREAM_OWNERSHIP_H_
