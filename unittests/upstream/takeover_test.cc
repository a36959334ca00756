#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "bamboorack/upstream/group_authority.h"
#include "upstream/simulated_upstream.h"

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

constexpr FencingToken kOldToken(10);
constexpr FencingToken kNewToken(20);

/// An authority that took over from a predecessor, and the upstreams of its
/// group. Each call is answered at once unless the upstream is cut off.
class TakeoverFixture {
 public:
  explicit TakeoverFixture(int count) {
    this->state.inventory_revision = Revision(1);
    ServiceEntry service;
    service.name = this->group.service;
    service.shard_count = 2;
    for (int i = 0; i < count; ++i) {
      const std::string name = "u" + std::to_string(i);
      service.upstreams.push_back({UpstreamId(name), VmId(name),
                                   Endpoint{"127.0.0.1", 1},
                                   this->group.failure_domain, 6, 1.0});
      SimulatedUpstream upstream;
      upstream.id = UpstreamId(name);
      upstream.instance = UpstreamInstance(name);
      upstream.token = kOldToken;
      this->upstreams.push_back(upstream);
    }
    this->state.inventory.services.push_back(service);
    this->state.authorities[this->group] = {
        kNewToken, DaemonId("d1"), DaemonInstance("d1.1"), {}};
    this->state.shards[service.name].assign(
        2, ShardState{this->group, this->Ref(0), LogOffset(5)});
  }

  UpstreamRef Ref(int index) const {
    const std::string name = "u" + std::to_string(index);
    return {UpstreamId(name), UpstreamInstance(name)};
  }

  /// Sets up a grant of both shards from the predecessor to upstream `index`.
  void SetPredecessorGrant(int index, bool is_expired) {
    SimulatedUpstream& upstream = this->upstreams[index];
    upstream.shards = {ShardId(0), ShardId(1)};
    upstream.lease_end =
        UpstreamReading(is_expired ? milliseconds(0) : milliseconds(100'000));
  }

  void Run(milliseconds duration) {
    for (const auto end = this->now + duration; this->now < end;
         this->now += milliseconds(50)) {
      this->HandleOutput(this->authority.Tick(this->Input(), this->Clock()));
    }
  }

  bool IsGranted(int index) const {
    const SimulatedUpstream& upstream = this->upstreams[index];
    return upstream.token == kNewToken &&
           upstream.Owns(ShardId(0), TrueTime(this->now));
  }

  std::vector<SimulatedUpstream> upstreams;
  std::set<int> unreachable;
  std::vector<ShardsAssigned> moves;
  bool has_claim_grant = false;
  ClusterState state;

 private:
  MonotonicTime Clock() const { return MonotonicTime(this->now); }
  AuthorityInput Input() const {
    return {this->state, this->Clock(), true, this->membership};
  }

  void HandleOutput(const AuthorityOutput& output) {
    for (const Record& record : output.appends) {
      const auto& move = std::get<ShardsAssigned>(record.body);
      // With both shards on one of three upstreams, rebalancing is expected.
      if (move.cause != Cause::kRebalance) this->moves.push_back(move);
    }
    for (const ControlCall& call : output.calls) {
      const int index = std::stoi(call.upstream.value.substr(1));
      const auto* grant = std::get_if<GrantCall>(&call.request);
      if (grant != nullptr) this->has_claim_grant |= grant->only_if_unexpired;
      ControlResult result{call.id, call.upstream,
                           tl::make_unexpected(ControlError::kUnreachable)};
      if (!this->unreachable.contains(index)) {
        result.answer = this->upstreams[index].Handle(call.request, this->now);
      }
      this->HandleOutput(this->authority.OnControlResult(this->Input(), result,
                                                         this->Clock()));
    }
  }

  GroupId group{ServiceName("reader"), FailureDomain("east"), 0};
  TrueTime now{milliseconds(50)};
  MembershipView membership;
  int next_record = 0;
  GroupAuthority authority{
      this->group,
      DaemonId("d1"),
      kNewToken,
      true,
      this->Clock(),
      ControlCallId(1),
      [this] { return RecordId(std::to_string(++this->next_record)); }};
};

SCENARIO(
    "a successor renews a shard that its predecessor moved without a record") {
  GIVEN("three upstreams, of which u0 is the recorded owner") {
    TakeoverFixture takeover(3);
    WHEN("all answer and u0 holds the lease") {
      takeover.SetPredecessorGrant(0, false);
      takeover.Run(milliseconds(500));
      THEN("u0 is renewed") {
        CHECK(takeover.IsGranted(0));
        CHECK(takeover.moves.empty());
      }
    }
    WHEN("u2 does not answer and the lease of u0 is unexpired") {
      takeover.SetPredecessorGrant(0, false);
      takeover.unreachable = {2};
      takeover.Run(milliseconds(500));
      THEN("a majority is fenced, and u0 accepts the conditional grant") {
        CHECK(takeover.IsGranted(0));
        CHECK(takeover.has_claim_grant);
      }
    }
    WHEN("u2 does not answer and the lease of u0 has expired") {
      takeover.SetPredecessorGrant(0, true);
      takeover.unreachable = {2};
      takeover.Run(milliseconds(3000));
      THEN("no upstream gets a grant, because u2 may hold the shard") {
        CHECK_FALSE(takeover.IsGranted(0));
        CHECK(takeover.moves.empty());
      }
      AND_WHEN("u2 is declared lost") {
        takeover.state.declared_lost.insert(takeover.Ref(2));
        takeover.Run(milliseconds(500));
        THEN("u0 is granted") { CHECK(takeover.IsGranted(0)); }
      }
    }
    WHEN("u0 and u1 do not answer") {
      takeover.SetPredecessorGrant(0, false);
      takeover.unreachable = {0, 1};
      takeover.Run(milliseconds(5000));
      THEN("no shard moves without an answer") {
        CHECK(takeover.moves.empty());
      }
    }
    WHEN("u1 reports the shards under an unexpired lease") {
      takeover.SetPredecessorGrant(0, true);
      takeover.SetPredecessorGrant(1, false);
      takeover.Run(milliseconds(500));
      THEN("u1 is recorded as their owner, and u0 is not renewed") {
        REQUIRE(takeover.moves.size() == 1);
        CHECK(takeover.moves[0].proof == Proof::kReported);
        CHECK(takeover.moves[0].changes[0].to == takeover.Ref(1));
        CHECK_FALSE(takeover.IsGranted(0));
      }
    }
    WHEN("u1 was frozen and still reports shards under an expired lease") {
      takeover.SetPredecessorGrant(0, false);
      takeover.SetPredecessorGrant(1, true);
      takeover.Run(milliseconds(500));
      THEN("u1 is not treated as the owner") {
        CHECK(takeover.IsGranted(0));
        CHECK(takeover.moves.empty());
      }
    }
  }
  GIVEN("a successor that another authority superseded") {
    TakeoverFixture takeover(3);
    takeover.SetPredecessorGrant(0, false);
    takeover.state.authorities.begin()->second.token = FencingToken(30);
    takeover.Run(milliseconds(500));
    THEN("it calls no upstream") {
      for (const SimulatedUpstream& upstream : takeover.upstreams) {
        CHECK(upstream.token == kOldToken);
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
