#include "bamboorack/core/route_table.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace bamboorack {
namespace {

Route MakeRoute(const std::string& name, const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = RouteName(name);
  route.host = host;
  route.path_prefix = prefix;
  route.shares = {{ServiceName("s"), 1}};
  return route;
}

TEST_CASE("a request takes the route of another host or path") {
  DesiredState state;
  state.routes = {MakeRoute("short", "a.example", "/x/"),
                  MakeRoute("long", "a.example", "/x/y/"),
                  MakeRoute("other", "b.example", "/x/")};
  const RouteTable table(state);
  const auto name = [&table](std::string_view host, std::string_view target) {
    const Route* route = table.Find(host, target);
    return route == nullptr ? std::string() : route->name.value;
  };

  SECTION("the longest prefix wins") {
    CHECK(name("a.example", "/x/1") == "short");
    CHECK(name("a.example", "/x/y/1") == "long");
    CHECK(name("a.example", "/x/yy/1") == "short");
    CHECK(name("b.example", "/x/y/1") == "other");
  }
  SECTION("a query is no part of the path") {
    CHECK(name("a.example", "/x/?q=/x/y/") == "short");
    CHECK(name("a.example", "/z?p=/x/").empty());
  }
  SECTION("port and case of the host do not matter") {
    CHECK(name("A.Example:8080", "/x/1") == "short");
  }
  SECTION("without a route nothing is found") {
    CHECK(name("c.example", "/x/1").empty());
    CHECK(name("a.example", "/x").empty());
    CHECK(name("", "").empty());
  }
}

TEST_CASE("a split sends too much to one part") {
  ShareDealer dealer;
  const std::vector<TrafficShare> shares = {{ServiceName("a"), 90},
                                            {ServiceName("b"), 10}};
  std::map<std::size_t, int> counts;
  for (int i = 0; i < 200; ++i) ++counts[dealer.Next(shares)];
  CHECK(counts[0] == 180);
  CHECK(counts[1] == 20);

  SECTION("new weights hold from the next request on") {
    const std::vector<TrafficShare> even = {{ServiceName("a"), 1},
                                            {ServiceName("b"), 1}};
    counts.clear();
    for (int i = 0; i < 10; ++i) ++counts[dealer.Next(even)];
    CHECK(counts[0] == 5);
  }
}

}  // namespace
}  // namespace bamboorack
