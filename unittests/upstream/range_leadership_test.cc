#include "bamboorack/upstream/range_leadership.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Role = RangeLeadership::Role;
using LogAction = RangeLeadership::LogAction;

OwnershipRecord RecordOf(const std::string& leader, std::uint64_t term,
                         const std::string& instance = "x") {
  OwnershipRecord record;
  record.term = Term(term);
  record.leader = DaemonId(leader);
  record.instance = DaemonInstance(instance);
  return record;
}

SCENARIO("a daemon leads although another one would lead better") {
  const MonotonicTime start{seconds(100)};
  const auto delay = RangeLeadership::kSlowLinkClaimDelay;
  RangeLeadership fast(DaemonId("d0"), DaemonInstance("i0"), start);
  RangeLeadership slow(DaemonId("d1"), DaemonInstance("i1"), start, delay);
  /// Reads `record` once and returns whether the claim is due then.
  const auto claims_after = [start](RangeLeadership& daemon,
                                    const OwnershipRecord& record,
                                    milliseconds wait) {
    REQUIRE(daemon.NextLogAction(start, false) == LogAction::kRead);
    daemon.OnRead(record, LogOffset(5), start);
    const LogAction action = daemon.NextLogAction(start + wait, false);
    return action == LogAction::kClaim;
  };

  SECTION("a former leader is silent: both wait, the slow one longer") {
    const OwnershipRecord record = RecordOf("d9", 3);
    CHECK(claims_after(fast, record, RangeLeadership::kTakeoverWait));
    CHECK_FALSE(claims_after(slow, record, RangeLeadership::kTakeoverWait));
    SECTION("and it leads if no other does") {
      slow.OnRead(record, LogOffset(5), start + RangeLeadership::kTakeoverWait);
      CHECK(slow.NextLogAction(start + RangeLeadership::kTakeoverWait + delay,
                               false) == LogAction::kClaim);
    }
  }
  SECTION("a former leader has released") {
    OwnershipRecord record = RecordOf("d9", 3);
    record.is_released = true;
    CHECK(claims_after(fast, record, milliseconds(0)));
    CHECK_FALSE(claims_after(slow, record, milliseconds(0)));
  }
  SECTION("an earlier process of the slow one led: others wait longer yet") {
    CHECK(claims_after(slow, RecordOf("d1", 3, "former"), milliseconds(0)));
  }
}

SCENARIO("two daemons lead ownership at the same time") {
  MonotonicTime now{seconds(100)};
  RangeLeadership own(DaemonId("d0"), DaemonInstance("i0"), now);

  GIVEN("an empty log") {
    REQUIRE(own.NextLogAction(now, false) == LogAction::kRead);
    own.OnRead(std::nullopt, LogOffset(0), now);
    REQUIRE(own.NextLogAction(now, false) == LogAction::kClaim);
    CHECK(own.OwnTerm() == Term(1));

    WHEN("the claim takes effect") {
      const MonotonicTime sent = now;
      now += milliseconds(100);
      own.OnAppended(LogOffset(1), sent, now);
      THEN("the mandate starts when the claim was sent") {
        CHECK(own.MaySendCalls(sent + RangeLeadership::kMandateDuration -
                               milliseconds(1)));
        CHECK_FALSE(own.MaySendCalls(sent + RangeLeadership::kMandateDuration));
      }
      AND_WHEN("a renewal is not answered") {
        now = sent + RangeLeadership::kRenewalInterval;
        REQUIRE(own.NextLogAction(now, false) == LogAction::kRenew);
        own.OnAppendFailed(now, now + milliseconds(450));
        THEN("the log is read before the next renewal") {
          CHECK(own.NextLogAction(now + milliseconds(600), false) ==
                LogAction::kRead);
        }
        AND_WHEN("another daemon has claimed") {
          CHECK(own.NextLogAction(now + milliseconds(600), false) ==
                LogAction::kRead);
          own.OnRead(RecordOf("d1", 2), LogOffset(2), now + milliseconds(600));
          THEN("the other daemon is the leader") {
            CHECK(own.GetRole() == Role::kFollower);
            CHECK_FALSE(own.MaySendCalls(now + milliseconds(600)));
          }
        }
      }
      AND_WHEN("the process is suspended") {
        own.OnSuspended(now);
        THEN("it sends no call before the next renewal") {
          CHECK_FALSE(own.MaySendCalls(now));
          CHECK(own.NextLogAction(now + milliseconds(1), false) ==
                LogAction::kRead);
        }
      }
      AND_WHEN("it resigns") {
        own.SuspendMandate();
        CHECK_FALSE(own.MaySendCalls(now));
        own.Resign(now + seconds(5));
        THEN("it does not claim leadership again at once") {
          CHECK(own.GetRole() == Role::kFollower);
          now += seconds(1);
          REQUIRE(own.NextLogAction(now, false) == LogAction::kRead);
          OwnershipRecord released = RecordOf("d0", 1, "i0");
          released.is_released = true;
          own.OnRead(released, LogOffset(2), now);
          CHECK(own.NextLogAction(now + milliseconds(300), false) ==
                LogAction::kRead);
        }
      }
    }

    WHEN("the claim takes effect and is not answered") {
      own.OnAppendFailed(now, now + milliseconds(450));
      now += milliseconds(600);
      REQUIRE(own.NextLogAction(now, false) == LogAction::kRead);
      own.OnRead(RecordOf("d0", 1, "i0"), LogOffset(1), now);
      THEN("the daemon leads, with a mandate from the time of the claim") {
        CHECK(own.GetRole() == Role::kLeader);
        CHECK(own.TakePredecessor().has_value());
        CHECK(own.NextLogAction(now, false) == LogAction::kRenew);
      }
    }
  }

  GIVEN("a leader that no longer sends messages") {
    REQUIRE(own.NextLogAction(now, false) == LogAction::kRead);
    own.OnRead(RecordOf("d1", 3), LogOffset(9), now);
    THEN("it is not replaced before its mandate must have ended") {
      MonotonicTime claimed{};
      while (claimed == MonotonicTime{}) {
        now += milliseconds(50);
        const LogAction action = own.NextLogAction(now, false);
        if (action == LogAction::kRead) {
          own.OnRead(RecordOf("d1", 3), LogOffset(9), now);
        }
        if (action == LogAction::kClaim) claimed = now;
      }
      CHECK(claimed - MonotonicTime(seconds(100)) >=
            RangeLeadership::kTakeoverWait);
      CHECK(RangeLeadership::kTakeoverWait > RangeLeadership::kMandateDuration);
      CHECK(own.OwnTerm() == Term(4));
      CHECK(own.ExpectedEnd() == LogOffset(9));
    }
    THEN("it is replaced at once if it states that its mandate has ended") {
      own.OnMandateLapseStated(LogOffset(9));
      now += milliseconds(300);
      REQUIRE(own.NextLogAction(now, false) == LogAction::kClaim);
    }
    THEN("the statement applies only to its newest record") {
      own.OnMandateLapseStated(LogOffset(8));
      now += milliseconds(300);
      CHECK(own.NextLogAction(now, false) == LogAction::kRead);
    }
    THEN("each new record restarts the takeover wait") {
      for (int i = 0; i < 40; ++i) {
        now += milliseconds(250);
        const LogAction action = own.NextLogAction(now, false);
        REQUIRE(action != LogAction::kClaim);
        if (action == LogAction::kRead) {
          own.OnRead(RecordOf("d1", 3),
                     LogOffset(10 + static_cast<std::uint64_t>(i)), now);
        }
      }
    }
  }

  GIVEN("the record of a former process of this daemon") {
    REQUIRE(own.NextLogAction(now, false) == LogAction::kRead);
    own.OnRead(RecordOf("d0", 3, "old"), LogOffset(9), now);
    THEN("that process has ended and is replaced at once") {
      CHECK(own.NextLogAction(now, false) == LogAction::kClaim);
    }
  }

  GIVEN("two claims of a term, of which the first takes effect late") {
    const MonotonicTime start = now;
    OwnershipRecord released = RecordOf("d1", 3);
    released.is_released = true;
    REQUIRE(own.NextLogAction(now, false) == LogAction::kRead);
    own.OnRead(released, LogOffset(9), now);
    REQUIRE(own.NextLogAction(now, false) == LogAction::kClaim);
    own.OnAppendFailed(start, start + milliseconds(450));
    REQUIRE(own.NextLogAction(start + milliseconds(550), false) ==
            LogAction::kRead);
    // The answer to the read is late and does not include the first claim.
    own.OnRead(released, LogOffset(9), start + milliseconds(990));
    now = start + milliseconds(990);
    REQUIRE(own.NextLogAction(now, false) == LogAction::kClaim);
    own.OnAppendFailed(now, now + milliseconds(60));
    REQUIRE(own.NextLogAction(start + milliseconds(1'150), false) ==
            LogAction::kRead);
    OwnershipRecord claimed = RecordOf("d0", own.OwnTerm().value);
    claimed.instance = DaemonInstance("i0");
    own.OnRead(claimed, LogOffset(10), start + milliseconds(1'200));
    THEN("the mandate starts with the first claim, as other daemons assume") {
      CHECK(own.MandateUntil() <= start + RangeLeadership::kMandateDuration);
    }
  }

  GIVEN("a leader that sends messages") {
    own.OnLeaderMessage(Term(2), now);
    THEN("the log is not read") {
      CHECK(own.NextLogAction(now + milliseconds(200), false) ==
            LogAction::kNothing);
    }
    THEN("a leader that resigns is replaced after a read of the log") {
      own.OnLeaderResigned(Term(2), now);
      REQUIRE(own.NextLogAction(now, false) == LogAction::kRead);
      OwnershipRecord released = RecordOf("d1", 2);
      released.is_released = true;
      own.OnRead(released, LogOffset(7), now);
      CHECK(own.NextLogAction(now, false) == LogAction::kClaim);
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
