#include "bamboorack/operator/request_history.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace bamboorack::operators {
namespace {

using Lines = std::vector<std::string>;

RequestExplanation ExplainWith(const std::string& request, const Lines& lines) {
  RequestHistory history(request);
  for (const std::string& line : lines) history.FindRequest(line);
  for (const std::string& line : lines) history.AddContext(line);
  return history.Answer();
}

bool Mentions(const RequestExplanation& explanation, const std::string& event) {
  return std::any_of(
      explanation.context.begin(), explanation.context.end(),
      [&event](const LoggedEvent& row) { return row.event == event; });
}

SCENARIO("the cause of a failed request cannot be found from its id") {
  GIVEN("logs of two gateways in which a request is retried and lost") {
    const Lines lines = {
        R"({"time_ms":2000,"source":"g0","event":"retry","request":"a1",)"
        R"("route":"read","upstream":"u3","attempts":1,"reason":"upstream_lost"})",
        R"({"time_ms":2060,"source":"g0","event":"failed","request":"a1",)"
        R"("route":"read","upstream":"u3","attempts":2,"reason":"upstream_lost"})",
        R"({"time_ms":2100,"source":"g1","event":"failed","request":"a12",)"
        R"("route":"read","upstream":"u3","attempts":1,"reason":"upstream_lost"})",
        R"({"time_ms":1900,"source":"g1","event":"lease_ran_out",)"
        R"("service":"reader","keys":"0-9","holder":"u3","term":"4"})",
        R"({"time_ms":1950,"source":"g1","event":"lease_ran_out",)"
        R"("service":"reader","keys":"10-19","holder":"u7","term":"4"})",
        R"({"time_ms":1000,"source":"g1","event":"leadership_taken","term":"4"})",
        R"({"time_ms":9000,"source":"g1","event":"leadership_lost"})",
        R"({"time_ms":1100,"source":"g1","event":"log_lost","topic":"upstreams"})",
        "not a line of ours"};
    const RequestExplanation explanation = ExplainWith("a1", lines);

    THEN("its steps come in the order of time") {
      REQUIRE(explanation.IsKnown());
      REQUIRE(explanation.steps.size() == 2);
      CHECK(explanation.steps[0].event == "retry");
      CHECK(explanation.steps[1].Field("attempts") == "2");
    }
    THEN("the cause is that of the last step") {
      CHECK(explanation.cause ==
            "The connection to the upstream failed or went silent.");
    }
    THEN("others that were lost there are counted, and no others") {
      CHECK(explanation.others_at_upstream == 1);
      CHECK(explanation.daemons_at_upstream == 1);
    }
    THEN("the context has what changed before, for this upstream") {
      REQUIRE(explanation.context.size() == 2);
      CHECK(explanation.context[0].event == "leadership_taken");
      CHECK(explanation.context[1].Field("holder") == "u3");
      CHECK_FALSE(Mentions(explanation, "leadership_lost"));
      CHECK_FALSE(Mentions(explanation, "log_lost"));
    }
    THEN("text and JSON say the same") {
      const std::string text = ToText(explanation);
      CHECK(text.find("1970-01-01T00:00:02.060Z  g0  failed") !=
            std::string::npos);
      CHECK(text.find("on 1 daemons") != std::string::npos);
      const std::string json = ToJson(explanation);
      CHECK(json.find(R"("known":true)") != std::string::npos);
      CHECK(json.find(R"("event":"lease_ran_out")") != std::string::npos);
    }
  }

  GIVEN("lines with a collector's prefix") {
    const auto explanation = ExplainWith(
        "b2", {R"(  12.5 g0 {"time_ms":5,"source":"g0","event":"refused",)"
               R"("request":"b2","reason":"owner_moving"})"});
    THEN("the prefix is skipped") {
      REQUIRE(explanation.IsKnown());
      CHECK(explanation.cause.find("no owner") != std::string::npos);
    }
  }

  GIVEN("a request whose end was left out for the budget of lines") {
    const auto explanation = ExplainWith(
        "c3",
        {R"({"time_ms":5,"source":"g0","event":"retry","request":"c3"})"});
    THEN("the answer says so") {
      CHECK(explanation.cause == "The logs do not tell how it ended.");
    }
  }

  GIVEN("logs that do not name it") {
    const auto explanation = ExplainWith("d4", {R"({"event":"started"})"});
    THEN("the answer says so") {
      CHECK_FALSE(explanation.IsKnown());
      CHECK(ToText(explanation).find("do not name") != std::string::npos);
    }
  }

  GIVEN("a line that names it and is cut off") {
    RequestHistory history("e5");
    history.FindRequest(R"({"time_ms":5,"event":"refused","request":"e5")");
    THEN("it is counted") {
      CHECK(history.Skipped() == 1);
      CHECK_FALSE(history.Answer().IsKnown());
    }
  }
}

}  // namespace
}  // namespace bamboorack::operators
