#ifndef BAMBOORACK_UNITTESTS_DAEMON_ROUTER_HARNESS_H_
#define BAMBOORACK_UNITTESTS_DAEMON_ROUTER_HARNESS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "bamboorack/core/hash.h"
#include "bamboorack/daemon/router.h"

namespace bamboorack::daemon {

/// A router under test, with one service of two upstreams in one group. Records
/// the actions of the router. The id of the router's daemon is `self`.
class RouterHarness {
 public:
  RouterHarness() : router(DaemonId("self"), metrics) {
    ServiceEntry service;
    service.name = ServiceName("svc");
    service.shard_count = 2;
    for (const std::string name : {"u0", "u1"}) {
      UpstreamEntry entry;
      entry.id = UpstreamId(name);
      entry.endpoint = {"127.0.0.1", 9000};
      entry.failure_domain = FailureDomain("a");
      entry.slots = 4;
      service.upstreams.push_back(entry);
    }
    this->state.inventory.services.push_back(service);
    this->state.inventory_revision = Revision(1);
    this->group = this->state.Groups().front();
    for (const std::string name : {"u0", "u1"}) {
      const UpstreamRef ref{UpstreamId(name), UpstreamInstance("first")};
      this->state.shards[service.name].push_back(
          {this->group, ref, LogOffset(5)});
      LocalUpstream info;
      info.ref = ref;
      info.endpoint = {"127.0.0.1", 9000};
      info.group = this->group;
      info.slots = 4;
      info.reading = UpstreamReading(std::chrono::milliseconds(7'000'000));
      info.reading_received = this->now - std::chrono::milliseconds(100);
      this->local_upstreams[ref] = info;
    }
    this->SetAuthority("self", 10);
  }

  /// Sets the authority of the group. Takes effect with `PublishTable`.
  void SetAuthority(const std::string& daemon, std::uint64_t token) {
    AuthorityState& authority = this->state.authorities[this->group];
    authority.daemon = DaemonId(daemon);
    authority.token = FencingToken(token);
    this->is_local = daemon == "self";
    this->local_group.token = FencingToken(token);
    this->local_group.taken_at = this->now - std::chrono::hours(1);
  }

  /// Makes `owner` the owner of the shard of `key`.
  void SetOwner(const std::string& key, const std::string& owner) {
    this->state.shards[ServiceName("svc")][ShardOf(key)].owner =
        UpstreamRef{UpstreamId(owner), UpstreamInstance("first")};
  }

  LocalUpstream& Upstream(const std::string& name) {
    return this->local_upstreams.at(
        {UpstreamId(name), UpstreamInstance("first")});
  }

  void PublishTable() {
    auto table = std::make_shared<RoutingTable>();
    table->state = std::make_shared<const ClusterState>(this->state);
    if (this->is_local) {
      table->local_groups[this->group] = this->local_group;
      for (auto& [ref, info] : this->local_upstreams) {
        info.token = this->local_group.token;
        table->local_upstreams[ref] = info;
      }
      table->granted[ServiceName("svc")] = this->granted;
    }
    this->RecordActions(this->router.OnTable(table, this->now));
  }

  /// Advances the clock by `time`, ticking the router whenever a timer is due.
  void Advance(std::chrono::milliseconds time) {
    const MonotonicTime until = this->now + time;
    while (this->router.NextWakeup() <= until) {
      this->now = std::max(this->now, this->router.NextWakeup());
      this->RecordActions(this->router.Tick(this->now));
    }
    this->now = until;
  }

  /// Returns a request for a key of the first shard, which `u0` owns.
  Request MakeRequest(Rank rank, const std::string& id,
                      std::chrono::milliseconds time_left) const {
    Request request;
    request.id = RequestId(id);
    request.service = ServiceName("svc");
    request.key = this->KeyOf(0);
    request.method = "GET";
    request.rank = rank;
    request.deadline = this->now + time_left;
    request.body = std::make_shared<const std::string>("body of " + id);
    return request;
  }

  /// Returns a key of shard `shard`.
  std::string KeyOf(std::size_t shard) const {
    int number = 0;
    while (ShardOf("key" + std::to_string(number)) != shard) ++number;
    return "key" + std::to_string(number);
  }

  /// Sends `request` from a new caller. Returns the slot of the caller.
  caller::CallerSlot Call(const Request& request) {
    const caller::CallerSlot slot{this->next_slot++};
    this->RecordActions(this->router.OnCaller(
        caller::RequestArrived{slot, request}, this->now));
    return slot;
  }
  caller::CallerSlot Call(
      Rank rank, const std::string& id,
      std::chrono::milliseconds time_left = std::chrono::milliseconds(1000)) {
    return this->Call(this->MakeRequest(rank, id, time_left));
  }
  void Disconnect(caller::CallerSlot slot) {
    this->RecordActions(
        this->router.OnCaller(caller::CallerGone{slot}, this->now));
  }

  void EndDispatch(std::size_t index, Result result) {
    this->RecordActions(this->router.OnUpstream(
        upstream::DispatchResult{this->dispatches.at(index).id,
                                 std::move(result)},
        this->now));
  }
  void EndSettle(std::size_t index, upstream::SettleState settled) {
    this->EndSettleWith(
        index, upstream::ControlAnswer(upstream::SettleAnswer{settled}));
  }
  void EndSettleWith(
      std::size_t index,
      tl::expected<upstream::ControlAnswer, upstream::ControlError> answer) {
    const upstream::ControlCall& call = this->settles.at(index);
    this->RecordActions(this->router.OnUpstream(
        upstream::ControlResult{call.id, call.upstream, std::move(answer)},
        this->now));
  }
  void AnswerForward(std::size_t index, Result result) {
    this->RecordActions(this->router.OnPeer(
        peer::ForwardAnswered{this->forwards.at(index).id, std::move(result)},
        this->now));
  }
  peer::ReturnPath ArriveFromPeer(const Request& request) {
    const peer::ReturnPath path{DaemonId("peer"), ConnectionGeneration(3),
                                ForwardId(this->next_slot++)};
    this->RecordActions(
        this->router.OnPeer(peer::ForwardArrived{path, request}, this->now));
    return path;
  }

  /// Returns the endings that were sent to `slot`.
  std::vector<Result> EndingsOf(caller::CallerSlot slot) const {
    std::vector<Result> found;
    for (const caller::ToCaller& ending : this->endings) {
      if (ending.slot == slot) found.push_back(ending.result);
    }
    return found;
  }
  /// Describes the only ending of `slot`, such as `done` or
  /// `not_run upstream_shed`. Returns `open` if there is none.
  std::string EndingOf(caller::CallerSlot slot) const {
    const auto found = this->EndingsOf(slot);
    if (found.empty()) return "open";
    if (found.size() > 1) return "more than one ending";
    return Describe(found.front());
  }
  static std::string Describe(const Result& result) {
    if (result) return "done";
    return std::string(NameOf(result.error().ending)) + " " +
           std::string(InfoOf(result.error().reason).name);
  }
  static Answer MakeAnswer(const std::string& body) {
    Answer answer;
    answer.status = 200;
    answer.body = std::make_shared<const std::string>(body);
    return answer;
  }

  /// Raises the concurrency limit of `u0` to its four slots.
  void WarmUp() {
    for (int i = 0; i < 4; ++i) {
      this->Call(Rank::kLookup, "warm" + std::to_string(i));
      this->Advance(std::chrono::milliseconds(5));
      this->EndDispatch(this->dispatches.size() - 1, MakeAnswer("warm"));
    }
    this->dispatches.clear();
    this->endings.clear();
  }

  MonotonicTime now{std::chrono::hours(100)};
  Metrics metrics;
  Router router;
  ClusterState state;
  GroupId group;
  LocalGroup local_group;
  std::map<UpstreamRef, LocalUpstream> local_upstreams;
  std::vector<bool> granted = {true, true};
  bool is_local = true;

  std::vector<caller::ToCaller> endings;
  std::vector<peer::SendForward> forwards;
  std::vector<peer::SendCancel> forward_cancels;
  std::vector<peer::SendAnswer> answers;
  std::vector<upstream::Dispatch> dispatches;
  std::vector<upstream::CancelDispatch> cancels;
  std::vector<upstream::ControlCall> settles;

 private:
  static std::size_t ShardOf(const std::string& key) {
    return HashText(key) % 2;
  }

  void RecordActions(RouterActions&& actions) {
    for (RouterAction& action : actions) {
      std::visit([this](auto&& item) { this->Record(std::move(item)); },
                 action);
    }
  }
  void Record(caller::ToCaller&& item) { this->endings.push_back(item); }
  void Record(peer::SendForward&& item) { this->forwards.push_back(item); }
  void Record(peer::SendCancel&& item) {
    this->forward_cancels.push_back(item);
  }
  void Record(peer::SendAnswer&& item) { this->answers.push_back(item); }
  void Record(upstream::Dispatch&& item) { this->dispatches.push_back(item); }
  void Record(upstream::CancelDispatch&& item) {
    this->cancels.push_back(item);
  }
  void Record(upstream::ControlCall&& item) { this->settles.push_back(item); }

  std::uint64_t next_slot = 1;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_UNITTESTS_DAEMON_ROUTER_HARNESS_H_
