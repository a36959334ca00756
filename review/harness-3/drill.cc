#include <signal.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>

#include "site.h"

// Drills of the platform's store: `drill SCENARIO RECORD FOLDER`, where the
// scenario is owner, epoch, config or leaving. Exit code 1 if the rule was
// broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the store
// stays as it is.

namespace {

using namespace review;

constexpr milliseconds kReadyLimit{15'000};

bool HasTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string Route(const std::string& name, const std::string& service,
                  const std::string& kind = "safe") {
  return R"({"name":")" + name +
         R"(","host":"review.example","path_prefix":"/)" + name +
         R"(/","kind":")" + kind +
         R"(","timeout":"1500ms","latency_target":"300ms",)"
         R"("priority":1,"service":")" +
         service + R"(","max_attempts":2})";
}

std::string State(std::uint64_t version, const std::vector<std::string>& routes,
                  const std::vector<std::string>& services) {
  std::ostringstream text;
  text << R"({"version":"0000000)" << std::hex << version << R"(","routes":[)";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    text << (i == 0 ? "" : ",") << routes[i];
  }
  text << R"(],"services":[)";
  for (std::size_t i = 0; i < services.size(); ++i) {
    text << (i == 0 ? "" : ",") << R"({"name":")" << services[i]
         << R"(","health_path":"/health","max_conns":130,"protocol":"h1",)"
         << R"("tls":false)"
         << (services[i] == "reader"
                 ? R"(,"sharded":true,"warm":"3s","grants":"call"})"
                 : "}");
  }
  text << R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
       << R"("header_timeout":"3000ms","idle_timeout":"15000ms"}})";
  return text.str();
}

/// `away` is "a moment".
void Drill(Site& site, Time copied, milliseconds away) {
  Store& store = site.GetStore();
  if (!HasTrouble()) {
    SleepFor(away);
    return;
  }
  site.GetJournal().Line("store goes away");
  store.GoAway();
  SleepFor(away);
  store.ComeBackFromCopy(copied);
  site.GetJournal().Line(
      "store is back from a copy of " +
      std::to_string(
          std::chrono::duration_cast<milliseconds>(Clock::now() - copied)
              .count()) +
      " ms ago, Store-Era=" + std::to_string(store.Era()));
}

/// Watches whether two backends hold a key at the same time.
class HoldWatch {
 public:
  explicit HoldWatch(Site& watched) : site(watched) {
    this->thread =
        std::jthread([this](const std::stop_token& stop) { this->Run(stop); });
  }

  void Stop() {
    this->thread.request_stop();
    this->thread.join();
  }
  milliseconds Longest() const { return this->longest; }

 private:
  static constexpr std::uint32_t kStep = 32;

  void Run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      this->Look();
      SleepFor(milliseconds(10));
    }
  }

  void Look() {
    Fleet& fleet = this->site.GetFleet();
    const std::lock_guard lock(fleet.mutex);
    const Time now = Clock::now();
    for (std::uint32_t key = 0; key < 65'536; key += kStep) {
      std::string holders;
      int count = 0;
      for (const auto& backend : fleet.backends) {
        if (!backend->Plan().is_sharded || !backend->HoldsLocked(key, now)) {
          continue;
        }
        ++count;
        holders += " " + backend->Plan().id;
      }
      if (count < 2) {
        this->since.erase(key);
        continue;
      }
      const auto [row, is_new] = this->since.try_emplace(key, now);
      // One line for each pair of backends.
      if (is_new && this->told.insert(holders).second) {
        this->site.GetJournal().Line("key " + std::to_string(key) +
                                     " is held by" + holders);
      }
      const auto length =
          std::chrono::duration_cast<milliseconds>(now - row->second);
      this->longest = std::max(this->longest, length);
    }
  }

  Site& site;
  std::map<std::uint32_t, Time> since;
  std::set<std::string> told;
  milliseconds longest{0};
  std::jthread thread;
};

int Verdict(Site& site, bool is_broken, const std::string& text) {
  const std::string line =
      std::string(is_broken ? "RULE BROKEN: " : "rule held: ") + text;
  site.GetJournal().Line(line);
  std::cout << line << std::endl;
  return is_broken ? 1 : 0;
}

int CannotRun(Site& site, const std::string& why) {
  site.GetJournal().Line("the case could not run: " + why);
  std::cout << "the case could not run: " << why << std::endl;
  return 2;
}

void StartAll(Site& site, const std::vector<BackendPlan>& backends,
              const std::string& state, std::size_t gateways = 3) {
  site.GetStore().Write("keyed.op", "config", state);
  for (const BackendPlan& plan : backends) site.StartBackend(plan);
  for (std::size_t i = 0; i < gateways; ++i) site.StartGateway();
}

/// A planned restart of the leader, then new backends, then the drill from a
/// copy made before both.
int RunOwner(Site& site) {
  std::vector<BackendPlan> backends;
  for (int i = 0; i < 6; ++i) {
    backends.push_back({"r" + std::to_string(i), "reader", "east", true});
  }
  StartAll(site, backends, State(1, {Route("read", "reader")}, {"reader"}));
  if (!site.AwaitReady(kReadyLimit)) return CannotRun(site, "not ready");
  site.StartClients({"/read/x", "/read/y"}, milliseconds(25));
  SleepFor(milliseconds(5'000));
  const auto leader = site.Leader();
  if (!leader) return CannotRun(site, "no leader");
  HoldWatch watch(site);

  const Time copied = Clock::now();
  SleepFor(milliseconds(200));
  site.GetJournal().Line("SIGTERM to front-" + std::to_string(*leader) +
                         ", which leads");
  site.Signal(*leader, SIGTERM);
  SleepFor(milliseconds(800));
  for (int i = 6; i < 9; ++i) {
    site.StartBackend({"r" + std::to_string(i), "reader", "east", true});
  }
  const bool has_ended = AwaitThat(
      milliseconds(6'000), [&site, &leader] { return site.HasEnded(*leader); });
  if (!has_ended) return CannotRun(site, "the gateway did not end");
  SleepFor(milliseconds(300));
  site.GetJournal().Line("front-" + std::to_string(*leader) + " starts again");
  site.RestartGateway(*leader);
  std::this_thread::sleep_until(copied + milliseconds(5'500));
  Drill(site, copied, milliseconds(500));
  SleepFor(milliseconds(10'000));
  watch.Stop();
  site.StopClients();

  constexpr milliseconds kLongestAllowed{500};
  const std::lock_guard lock(site.GetFleet().mutex);
  const auto& stale = site.GetFleet().stale_epochs;
  for (const std::string& grant : stale) {
    site.GetJournal().Line("epoch not above all others: " + grant);
  }
  return Verdict(site, watch.Longest() > kLongestAllowed || !stale.empty(),
                 "a key was held by two backends for " +
                     std::to_string(watch.Longest().count()) +
                     " ms at most (500 allowed); grants with an epoch not "
                     "above all others: " +
                     std::to_string(stale.size()));
}

/// The leader of two gateways is removed for good by a planned stop, and new
/// backends are added; then the drill from a copy made before both.
int RunEpoch(Site& site) {
  std::vector<BackendPlan> backends;
  for (int i = 0; i < 6; ++i) {
    backends.push_back({"r" + std::to_string(i), "reader", "east", true});
  }
  StartAll(site, backends, State(1, {Route("read", "reader")}, {"reader"}), 2);
  if (!site.AwaitReady(kReadyLimit)) return CannotRun(site, "not ready");
  SleepFor(milliseconds(3'000));
  const auto leader = site.Leader();
  if (!leader) return CannotRun(site, "no leader");
  const std::size_t other = 1 - *leader;
  site.StartClients({"/read/x", "/read/y"}, milliseconds(15), {other});
  SleepFor(milliseconds(3'000));

  const Time copied = Clock::now();
  SleepFor(milliseconds(200));
  site.GetJournal().Line("SIGTERM to front-" + std::to_string(*leader) +
                         ", which leads and is removed for good");
  site.Signal(*leader, SIGTERM);
  SleepFor(milliseconds(800));
  for (int i = 6; i < 9; ++i) {
    site.StartBackend({"r" + std::to_string(i), "reader", "east", true});
  }
  const bool has_ended = AwaitThat(
      milliseconds(6'000), [&site, &leader] { return site.HasEnded(*leader); });
  if (!has_ended) return CannotRun(site, "the gateway did not end");
  site.GetJournal().Line("front-" + std::to_string(*leader) + " has ended");
  std::this_thread::sleep_until(copied + milliseconds(5'500));
  Drill(site, copied, milliseconds(500));
  SleepFor(milliseconds(10'000));
  site.StopClients();

  const std::lock_guard lock(site.GetFleet().mutex);
  const auto& stale = site.GetFleet().stale_epochs;
  for (const std::string& grant : stale) {
    site.GetJournal().Line("epoch not above all others: " + grant);
  }
  return Verdict(site, !stale.empty(),
                 "grants taken with an epoch that is not above all with which "
                 "other backends had the keys: " +
                     std::to_string(stale.size()));
}

/// Three desired states, then the drill from a copy made before the last two,
/// then, when the store has been stable for long, a further one.
int RunConfig(Site& site) {
  std::vector<BackendPlan> backends;
  for (int i = 0; i < 3; ++i) {
    backends.push_back({"a" + std::to_string(i), "old-desk", "east", false});
    backends.push_back({"b" + std::to_string(i), "new-desk", "east", false});
  }
  const std::vector<std::string> services = {"old-desk", "new-desk"};
  const auto state = [&services](std::uint64_t version,
                                 const std::string& moved_to) {
    std::vector<std::string> routes = {Route("look", "old-desk"),
                                       Route("move", moved_to)};
    for (std::uint64_t i = 1; i < version; ++i) {
      routes.push_back(Route("extra" + std::to_string(i), "old-desk"));
    }
    return State(version, routes, services);
  };
  Store& store = site.GetStore();
  StartAll(site, backends, state(1, "old-desk"));
  if (!site.AwaitReady(kReadyLimit)) return CannotRun(site, "not ready");
  site.StartClients({"/look/x", "/move/x"}, milliseconds(50));
  SleepFor(milliseconds(3'000));

  const Time copied = Clock::now();
  for (std::uint64_t version = 2; version <= 3; ++version) {
    SleepFor(milliseconds(1'000));
    store.Write("keyed.op", "config", state(version, "old-desk"));
    site.GetJournal().Line("operator: version " + std::to_string(version) +
                           " acknowledged, end of the log " +
                           std::to_string(store.End("keyed.op")));
  }
  std::this_thread::sleep_until(copied + milliseconds(4'500));
  Drill(site, copied, milliseconds(150));
  // `stability` is 3 s: the store is stable and the machines are in touch.
  SleepFor(milliseconds(6'000));
  store.Write("keyed.op", "config", state(4, "new-desk"));
  const Time acknowledged = Clock::now();
  site.GetJournal().Line(
      "operator: version 4 moves /move/ to new-desk, "
      "acknowledged, end of the log " +
      std::to_string(store.End("keyed.op")));
  SleepFor(milliseconds(12'000));
  site.StopClients();
  SleepFor(milliseconds(500));

  constexpr milliseconds kApply{2'000};
  std::map<std::string, std::string> service_of;
  {
    const std::lock_guard lock(site.GetFleet().mutex);
    for (const Run& run : site.GetFleet().runs) {
      service_of[run.request] = run.service;
    }
  }
  std::map<std::size_t, std::size_t> late;
  std::size_t all = 0;
  for (const Answered& answer : site.Answers()) {
    const bool counts =
        answer.path == "/move/x" && answer.sent > acknowledged + kApply;
    if (!counts) continue;
    ++all;
    if (service_of[answer.request] == "old-desk") ++late[answer.gateway];
  }
  std::ostringstream text;
  std::size_t sum = 0;
  for (const auto& [gateway, count] : late) {
    sum += count;
    text << "; front-" << gateway << ": " << count;
  }
  if (all == 0) return CannotRun(site, "no request was sent");
  return Verdict(
      site, sum > 0,
      "of " + std::to_string(all) +
          " requests sent more than 2 s after the acknowledgement, " +
          std::to_string(sum) +
          " were run by the service of the older version" + text.str());
}

/// A backend leaves, and all gateways know it; then the drill from a copy made
/// before that, and requests to its service from then on.
int RunLeaving(Site& site) {
  constexpr milliseconds kDrain{2'000};
  const auto plan = [](const std::string& id) {
    return BackendPlan{id, "desk", "east", false, milliseconds(140), false};
  };
  Store& store = site.GetStore();
  store.Write("keyed.op", "config",
              State(1, {Route("order", "desk", "unsafe")}, {"desk"}));
  Backend& leaving = site.StartBackend(plan("d0"));
  for (int i = 1; i < 4; ++i) {
    site.StartBackend(plan("d" + std::to_string(i)));
  }
  for (int i = 0; i < 3; ++i) site.StartGateway();
  if (!site.AwaitReady(kReadyLimit)) return CannotRun(site, "not ready");
  SleepFor(milliseconds(3'000));

  const Time copied = Clock::now();
  SleepFor(milliseconds(300));
  const Time accepted = leaving.Leave();
  // `drain` has passed, and the gateways have read it several times.
  SleepFor(milliseconds(2'500));
  // A heartbeat falls into the time without the store; the next one comes when
  // the store is back for 0.8 s.
  const Time beat = leaving.LastBeat();
  AwaitThat(milliseconds(1'000),
            [&leaving, beat] { return leaving.LastBeat() != beat; });
  std::this_thread::sleep_until(leaving.LastBeat() + milliseconds(470));
  Drill(site, copied, milliseconds(500));
  site.StartClients(std::vector<std::string>(8, "/order/x"), milliseconds(160),
                    {}, "POST");
  // It serves for `drain` and "a little longer".
  std::this_thread::sleep_until(accepted + kDrain + milliseconds(2'000));
  leaving.End();
  SleepFor(milliseconds(3'000));
  site.StopClients();

  std::map<std::string, int> status_of;
  for (const Answered& answer : site.Answers()) {
    status_of[answer.request] = answer.status;
  }
  std::size_t late = 0;
  std::size_t lost = 0;
  const std::lock_guard lock(site.GetFleet().mutex);
  for (const Run& run : site.GetFleet().runs) {
    if (run.backend != "d0" || run.at < accepted + kDrain) continue;
    ++late;
    if (status_of[run.request] != 200) ++lost;
  }
  return Verdict(site, late > 0,
                 "requests that reached the leaving backend later than 2 s "
                 "after its report was accepted: " +
                     std::to_string(late) +
                     "; of these without an answer: " + std::to_string(lost));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: drill owner|config|epoch|leaving RECORD FOLDER\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const std::string name = argv[1];
  try {
    Site site(argv[2], argv[3]);
    if (name == "owner") return RunOwner(site);
    if (name == "config") return RunConfig(site);
    if (name == "epoch") return RunEpoch(site);
    if (name == "leaving") return RunLeaving(site);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  return 2;
}
