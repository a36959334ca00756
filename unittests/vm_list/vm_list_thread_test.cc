#include "bamboorack/vm_list/vm_list_thread.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bamboorack/vm_list/vm_list_codec.h"
#include "fakes/vm_list/fake_vm_list.h"

namespace bamboorack::vm_list {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kLimit{10};

std::string ListOf(const std::string& vm) {
  return EncodeVmList(
      {{VmId(vm), "i1", "10.0.0.1", FailureDomain("east"), VmState::kLeaving}});
}

/// Pops until an item of type `Wanted` that satisfies `matches` arrives.
template <typename Wanted, typename Matches>
std::optional<Wanted> PopA(BoundedRing<FromVmList>& ring, Matches matches) {
  const MonotonicTime deadline = steady_clock::now() + kLimit;
  while (auto item = ring.PopUntil(deadline)) {
    auto* wanted = std::get_if<Wanted>(&*item);
    if (wanted != nullptr && matches(*wanted)) return std::move(*wanted);
  }
  return std::nullopt;
}

SCENARIO("a malformed list makes VMs look gone") {
  const std::string good = R"({"vm":"a","instance":"i","address":"10.0.0.1",)"
                           R"("failure_domain":"east","state":"live"})";
  const auto decode = [](const std::string& rows) {
    return DecodeVmList("{\"vms\":[" + rows + "]}");
  };
  SECTION("a valid list keeps all fields") {
    const auto vms = DecodeVmList(ListOf("a"));
    REQUIRE(vms.has_value());
    REQUIRE(vms->size() == 1);
    CHECK(vms->front().vm == VmId("a"));
    CHECK(vms->front().instance == "i1");
    CHECK(vms->front().failure_domain == FailureDomain("east"));
    CHECK(vms->front().state == VmState::kLeaving);
    CHECK(decode(good).value().front().state == VmState::kLive);
    CHECK(decode("").value().empty());
  }
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"no entry", "7"},
      {"an entry without fields", "{}"},
      {"an empty name", R"({"vm":"","instance":"i","address":"10.0.0.1",)"
                        R"("failure_domain":"east","state":"live"})"},
      {"a number for an instance",
       R"({"vm":"a","instance":1,"address":"10.0.0.1",)"
       R"("failure_domain":"east","state":"live"})"},
      {"an unknown state", R"({"vm":"a","instance":"i","address":"10.0.0.1",)"
                           R"("failure_domain":"east","state":"asleep"})"},
      {"the same VM twice", good + "," + good}};
  for (const auto& [what, rows] : cases) {
    SECTION("with " + what + " it is an error as a whole") {
      CHECK_FALSE(decode(rows).has_value());
      CHECK_FALSE(decode(good + "," + rows).has_value());
    }
  }
  SECTION("cut at any byte it is an error") {
    const std::string text = ListOf("a");
    for (std::size_t length = 0; length < text.size(); ++length) {
      CHECK_FALSE(DecodeVmList(text.substr(0, length)).has_value());
    }
  }
}

SCENARIO("a daemon does not notice a change of the VM list") {
  fakes::FakeVmList platform(0, {});
  Metrics metrics;
  BoundedRing<FromVmList> ring(16);
  VmListThread thread(Endpoint{"127.0.0.1", platform.Port()}, ring, metrics,
                      {milliseconds(10), milliseconds(1000)});
  const auto lists = [](const std::string& vm) {
    return [vm](const ListRead& list) {
      return list.vms.size() == 1 && list.vms[0].vm == VmId(vm);
    };
  };
  platform.Source().Replace(ListOf("a"));
  thread.Start();
  const auto first = PopA<ListRead>(ring, lists("a"));
  REQUIRE(first.has_value());

  WHEN("the list changes") {
    platform.Source().Replace(ListOf("b"));
    THEN("it is read at the next interval, with the time of the request") {
      const auto next = PopA<ListRead>(ring, lists("b"));
      REQUIRE(next.has_value());
      CHECK(next->sent_at > first->sent_at);
    }
  }
  WHEN("the list is malformed for a while") {
    platform.Source().Replace("{\"vms\":[{}]}");
    const auto failed =
        PopA<ListFailed>(ring, [](const ListFailed&) { return true; });
    REQUIRE(failed.has_value());
    CHECK_FALSE(failed->detail.empty());
    THEN("it is reported, and the next good list is read") {
      platform.Source().Replace(ListOf("c"));
      CHECK(PopA<ListRead>(ring, lists("c")).has_value());
      CHECK(metrics.CountOf("vm_list_reads_failed") >= 1);
    }
  }
  WHEN("the thread is stopped") {
    const MonotonicTime begin = steady_clock::now();
    thread.Stop();
    THEN("it ends at once") { CHECK(steady_clock::now() - begin < seconds(5)); }
  }
}

SCENARIO("the stand-in serves a list that its file no longer holds") {
  const auto path = std::filesystem::temp_directory_path() /
                    ("vm_list_" + std::to_string(::getpid()) + ".json");
  const auto write = [&path](const std::string& text, int version) {
    std::ofstream(path) << text;
    std::filesystem::last_write_time(
        path, std::filesystem::file_time_type(seconds(version)));
  };
  write("one", 1);
  fakes::ListSource source(path);
  CHECK(source.Text() == "one");
  write("two", 2);
  CHECK(source.Text() == "two");
  source.Replace("three");
  CHECK(source.Text() == "three");
  write("four", 3);
  CHECK(source.Text() == "four");
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace bamboorack::vm_list
