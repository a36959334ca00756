#include "bamboorack/vm_list/membership.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace bamboorack::vm_list {
namespace {

using std::chrono::milliseconds;

const MonotonicTime kStart{std::chrono::hours(100)};

MonotonicTime After(int ms) { return kStart + milliseconds(ms); }

VmEntry Vm(const std::string& name, const std::string& instance = "i1",
           VmState state = VmState::kLive) {
  return {VmId(name), instance, "10.0.0.1", FailureDomain("east"), state};
}

SCENARIO("a VM is taken for gone although it lives") {
  Membership membership;
  const VmId a("a");
  const VmId b("b");
  const auto gone_at = [&membership](const VmId& vm) {
    return membership.View().at(vm).gone_seen_at;
  };

  THEN("a VM that was never listed is not known") {
    CHECK(membership.View().empty());
  }
  GIVEN("a list of two VMs") {
    membership.OnList({After(0), {Vm("a"), Vm("b", "i1", VmState::kLeaving)}});
    CHECK_FALSE(gone_at(a));
    CHECK_FALSE(membership.View().at(a).is_leaving);
    CHECK(membership.View().at(b).is_leaving);

    WHEN("a later list lacks one") {
      membership.OnList({After(200), {Vm("a")}});
      THEN("it is gone since the first list without it was requested") {
        CHECK(gone_at(b) == After(200));
        membership.OnList({After(400), {Vm("a")}});
        CHECK(gone_at(b) == After(200));
        CHECK_FALSE(gone_at(a));
      }
      THEN("a list that was requested earlier changes nothing") {
        membership.OnList({After(100), {Vm("b")}});
        membership.OnList({After(200), {Vm("b")}});
        CHECK(gone_at(b) == After(200));
        CHECK_FALSE(gone_at(a));
      }
      THEN("the same instance can be listed again") {
        membership.OnList({After(400), {Vm("a"), Vm("b")}});
        CHECK_FALSE(gone_at(b));
      }
      THEN("it is forgotten after a day") {
        membership.OnList({After(200) + std::chrono::hours(24), {Vm("a")}});
        CHECK_FALSE(membership.View().contains(b));
      }
    }
    WHEN("a VM is replaced under the same name") {
      membership.OnList({After(200), {Vm("a", "i2"), Vm("b")}});
      THEN("the earlier instance stays gone while the new one lives") {
        CHECK(gone_at(a) == After(200));
        membership.OnList({After(400), {Vm("a", "i2"), Vm("b")}});
        CHECK(gone_at(a) == After(200));
      }
      AND_WHEN("the new one goes and comes back") {
        membership.OnList({After(400), {Vm("b")}});
        CHECK(gone_at(a) == After(400));
        membership.OnList({After(600), {Vm("a", "i2"), Vm("b")}});
        THEN("only the earlier instance is gone") {
          CHECK(gone_at(a) == After(200));
        }
      }
    }
    WHEN("an empty list arrives") {
      membership.OnList({After(200), {}});
      THEN("nothing is gone yet") {
        CHECK_FALSE(gone_at(a));
        CHECK_FALSE(gone_at(b));
      }
      AND_WHEN("a second one confirms it") {
        membership.OnList({After(400), {}});
        THEN("all are gone since the first one") {
          CHECK(gone_at(a) == After(200));
          CHECK(gone_at(b) == After(200));
        }
      }
      AND_WHEN("the list is filled again before the next empty one") {
        membership.OnList({After(400), {Vm("a"), Vm("b")}});
        membership.OnList({After(600), {}});
        THEN("the count of empty lists starts over") {
          CHECK_FALSE(gone_at(a));
        }
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::vm_list
