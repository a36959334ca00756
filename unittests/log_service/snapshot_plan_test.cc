#include "bamboorack/log_service/snapshot_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "bamboorack/log_service/record_codec.h"

namespace bamboorack::log_service {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const MonotonicTime kStart{std::chrono::hours(100)};

std::vector<SnapshotPiece> PiecesOf(const std::string& id,
                                    std::uint64_t covers_before,
                                    const std::string& text) {
  SnapshotPlan plan(minutes(60));
  std::vector<SnapshotPiece> pieces;
  MonotonicTime now = kStart;
  plan.Start(RecordId(id), LogOffset(covers_before), text, now);
  while (plan.IsWriting()) {
    pieces.push_back(*plan.NextPiece(now));
    now += kPieceInterval;
  }
  return pieces;
}

SCENARIO("the log forgets the state before a new snapshot is there") {
  GIVEN("a log that keeps records for an hour") {
    SnapshotPlan plan(minutes(60));
    THEN("a new writer begins at once") { CHECK(plan.IsDue(kStart)); }
    WHEN("a snapshot became complete") {
      plan.OnComplete(kStart);
      THEN("the next one is due after half an hour") {
        CHECK_FALSE(plan.IsDue(kStart + minutes(30) - milliseconds(1)));
        CHECK(plan.IsDue(kStart + minutes(30)));
      }
    }
    WHEN("the last piece of a snapshot is lost") {
      REQUIRE(plan.Start(RecordId("s"), LogOffset(5), "state", kStart));
      CHECK_FALSE(plan.IsDue(kStart));
      REQUIRE(plan.NextPiece(kStart).has_value());
      THEN("another one is written soon") {
        CHECK_FALSE(plan.IsDue(kStart + seconds(9)));
        CHECK(plan.IsDue(kStart + seconds(10)));
      }
    }
    WHEN("another daemon becomes the writer") {
      REQUIRE(plan.Start(RecordId("s"), LogOffset(5), "state", kStart));
      plan.Cancel();
      THEN("no further piece is written") {
        CHECK_FALSE(plan.NextPiece(kStart).has_value());
      }
    }
    THEN("an empty or oversized text is not started") {
      CHECK_FALSE(plan.Start(RecordId("s"), LogOffset(5), "", kStart));
      CHECK_FALSE(plan.Start(RecordId("s"), LogOffset(5),
                             std::string(kPieceBytes * kMaxPieces + 1, 'x'),
                             kStart));
    }
  }
}

SCENARIO("a snapshot takes the log's appends from others") {
  SnapshotPlan plan(minutes(60));
  REQUIRE(plan.Start(RecordId("s"), LogOffset(5),
                     std::string(kPieceBytes * 3, 'x'), kStart));
  CHECK(plan.NextPiece(kStart).has_value());
  CHECK_FALSE(plan.NextPiece(kStart + milliseconds(499)).has_value());
  CHECK(plan.NextPiece(kStart + milliseconds(500)).has_value());
  WHEN("a second snapshot starts right away") {
    REQUIRE(plan.Start(RecordId("t"), LogOffset(6), "state",
                       kStart + milliseconds(500)));
    THEN("its first piece waits for its turn as well") {
      CHECK_FALSE(plan.NextPiece(kStart + milliseconds(500)).has_value());
      CHECK(plan.NextPiece(kStart + milliseconds(1000))->snapshot ==
            RecordId("t"));
    }
  }
}

SCENARIO("a snapshot is damaged on its way through the log") {
  GIVEN("a text of characters with several bytes") {
    std::string text = "a";
    while (text.size() < kPieceBytes * 2 + 100) text += "\u00e9\u20ac";
    const std::vector<SnapshotPiece> pieces = PiecesOf("s", 5, text);
    REQUIRE(pieces.size() == 3);

    THEN("each piece fits, is a text of its own and all make the whole") {
      SnapshotAssembler assembler;
      for (const SnapshotPiece& piece : pieces) {
        CHECK(piece.body.size() <= kPieceBytes);
        const auto decoded = DecodeRecord(EncodeRecord({RecordId("r"), piece}));
        REQUIRE(decoded.has_value());
        assembler.Add(std::get<SnapshotPiece>(decoded->body));
      }
      REQUIRE(assembler.Newest().has_value());
      CHECK(assembler.Newest()->text == text);
    }
    THEN("order and repetition of the pieces do not matter") {
      SnapshotAssembler assembler;
      CHECK_FALSE(assembler.Add(pieces[2]));
      CHECK_FALSE(assembler.Add(pieces[0]));
      CHECK_FALSE(assembler.Add(pieces[0]));
      CHECK(assembler.Add(pieces[1]));
      CHECK(assembler.Newest()->text == text);
    }
    THEN("a missing piece gives no snapshot") {
      SnapshotAssembler assembler;
      assembler.Add(pieces[0]);
      assembler.Add(pieces[2]);
      CHECK_FALSE(assembler.Newest().has_value());
    }
    THEN("a piece that contradicts the others is ignored") {
      SnapshotAssembler assembler;
      assembler.Add(pieces[0]);
      std::vector<SnapshotPiece> wrong(4, pieces[1]);
      wrong[0].count = 2;
      wrong[1].covers_before = LogOffset(6);
      wrong[2].index = 3;
      wrong[3].count = 0;
      for (const SnapshotPiece& piece : wrong)
        CHECK_FALSE(assembler.Add(piece));
      CHECK_FALSE(assembler.Add(pieces[1]));
      CHECK(assembler.Add(pieces[2]));
    }
  }
}

SCENARIO("a daemon starts from a state with a hole in it") {
  SnapshotAssembler assembler;
  GIVEN("no snapshot") {
    CHECK_FALSE(assembler.GapBefore(LogOffset(1)).has_value());
    THEN("a trimmed log leaves a gap from the start") {
      const auto gap = assembler.GapBefore(LogOffset(4));
      REQUIRE(gap.has_value());
      CHECK(gap->from == LogOffset(1));
      CHECK(gap->first_kept == LogOffset(4));
    }
  }
  GIVEN("a snapshot of all records before offset 10") {
    REQUIRE(assembler.Add(PiecesOf("s", 10, "new")[0]));
    THEN("the gap is what lies between it and the log") {
      CHECK_FALSE(assembler.GapBefore(LogOffset(10)).has_value());
      CHECK(assembler.GapBefore(LogOffset(11))->from == LogOffset(10));
    }
    THEN("an older snapshot does not replace it") {
      CHECK_FALSE(assembler.Add(PiecesOf("t", 9, "old")[0]));
      CHECK(assembler.Newest()->text == "new");
    }
  }
  GIVEN("many snapshots that were cut short") {
    const std::string text(kPieceBytes + 1, 'x');
    for (std::uint64_t i = 1; i < 20; ++i) {
      assembler.Add(PiecesOf("s" + std::to_string(i), i, text)[0]);
    }
    THEN("the newest of them can still become complete") {
      CHECK_FALSE(assembler.Add(PiecesOf("s1", 1, text)[1]));
      CHECK(assembler.Add(PiecesOf("s19", 19, text)[1]));
    }
  }
}

}  // namespace
}  // namespace bamboorack::log_service
