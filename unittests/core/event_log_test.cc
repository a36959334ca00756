#include "bamboorack/core/event_log.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <sstream>
#include <string>
#include <vector>

namespace bamboorack {
namespace {

std::vector<std::string> LinesOf(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

TEST_CASE("a flood of log lines blocks the daemon or hides a cause") {
  std::ostringstream out;
  {
    EventLog log("d0", out);
    log.Line(EventKind::kBelief, "state")
        .Text("odd", "a\"b\\c\n\x01\xff")
        .Count("version", 7)
        .Real("share", 0.5)
        .Duration("age", std::chrono::milliseconds(12));
    for (int i = 0; i < 5'000; ++i) {
      log.Line(EventKind::kRequestDone, "answered").Count("i", 1);
    }
    log.Line(EventKind::kOwnership, "granted").Text("keys", "0-1");
    CHECK(log.Dropped() > 4'000);
  }
  const auto lines = LinesOf(out.str());

  SECTION("each line is one JSON object") {
    for (const std::string& line : lines) {
      Poco::JSON::Parser parser;
      const auto object = parser.parse(line).extract<Poco::JSON::Object::Ptr>();
      CHECK(object->getValue<std::string>("source") == "d0");
    }
    Poco::JSON::Parser parser;
    const auto first =
        parser.parse(lines.at(0)).extract<Poco::JSON::Object::Ptr>();
    CHECK(first->getValue<int>("version") == 7);
    CHECK(first->getValue<int>("age_ms") == 12);
  }
  SECTION("a kind that floods leaves room for the others, and is counted") {
    CHECK(lines.size() < 200);
    CHECK_THAT(out.str(), Catch::Contains("\"event\":\"granted\"") &&
                              Catch::Contains("\"event\":\"lines_dropped\""));
  }
}

}  // namespace
}  // namespace bamboorack
