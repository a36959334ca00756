// Backends that were full send a second copy of a rejection, late, where the
// next answer on the connection is due. That next request is the same one,
// sent again by the gateway.

#include <random>
#include <set>

#include "../harness/backend.h"
#include "../harness/harness.h"

namespace {

using namespace review;

constexpr int kGateways = 5;
constexpr int kBackends = 4;
constexpr int kClients = 25;
constexpr int kEpisodes = 8;
constexpr milliseconds kEpisode{5'000};
constexpr milliseconds kPause{1'500};
// The dose: of `share` of the backends, `x` of the answers.
constexpr double kAnswerShare = 0.03;

std::string DesiredState() {
  return R"({"version":"00000007","routes":[)"
         R"({"name":"charge","host":"shop.example","path_prefix":"/charge/",)"
         R"("kind":"unsafe","timeout":"2000ms","latency_target":"250ms",)"
         R"("priority":0,"service":"storefront","max_attempts":2}],)"
         R"("services":[{"name":"storefront","health_path":"/health",)"
         R"("max_conns":120,"protocol":"h1","tls":false,"sharded":true,)"
         R"("warm":"5s","grants":"call"}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
         R"("header_timeout":"3000ms","idle_timeout":"15000ms"}})";
}

struct Outcomes {
  std::mutex mutex;
  std::map<std::string, int> answers;
};

/// Sends one request after the other on a kept connection, each with an id of
/// its own. A refused one is not sent again.
void RunClient(int number, const std::vector<std::uint16_t>& fronts, Time until,
               Outcomes& outcomes, Record& record) {
  std::mt19937 random(static_cast<unsigned>(number));
  std::unique_ptr<Stream> stream;
  for (int i = 0; Clock::now() < until; ++i) {
    if (stream == nullptr) {
      stream = Stream::Connect(fronts[number % fronts.size()]);
    }
    if (stream == nullptr) {
      Sleep(milliseconds(50));
      continue;
    }
    const std::string id =
        "c" + std::to_string(number) + "-" + std::to_string(i);
    const unsigned key = random() % 65'536;
    record.Line("client sends " + id + " key " + std::to_string(key));
    stream->Send("DELETE /charge/" + id +
                 " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                 "\r\nX-Deadline-Ms: 2000\r\nX-Shard-Key: " +
                 std::to_string(key) + "\r\n\r\n");
    const auto answer = stream->Read(Clock::now() + milliseconds(2'000));
    const int status = answer ? StatusOf(*answer) : 0;
    record.Line("client gets " + id + " " + std::to_string(status));
    {
      const std::lock_guard lock(outcomes.mutex);
      outcomes.answers[id] = status;
    }
    const bool is_open =
        answer && !SameName(answer->Get("Connection"), "close");
    if (!is_open) stream.reset();
    if (status != 200) Sleep(milliseconds(20));
  }
}

bool Holds(const std::string& repository, Record& record) {
  Deployment deployment(repository, record);
  deployment.StartStore();
  if (!AppendToStore(deployment.StorePort(), "keyed.op", "config",
                     DesiredState())) {
    throw CannotRun("the store takes no desired state");
  }
  std::atomic<bool> is_on{false};
  std::atomic<int> copies{0};
  std::vector<std::unique_ptr<Backend>> backends;
  for (int i = 0; i < kBackends; ++i) {
    BackendPlan plan;
    plan.id = "i-" + std::to_string(i);
    plan.service = "storefront";
    plan.is_sharded = true;
    backends.push_back(
        std::make_unique<Backend>(plan, deployment.StorePort(), record));
    // Half of the backends: less than the share of 0.6.
    if (i % 2 == 0) {
      auto allowance = std::make_shared<std::pair<std::mutex, double>>();
      backends.back()->after_answer =
          [&, allowance](Backend::Connection& connection,
                         const Message& request, const std::string& answer,
                         int status) {
            if (!is_on || request.Get("X-Request-Id").empty()) return;
            const std::lock_guard lock(allowance->first);
            allowance->second += kAnswerShare;
            if (status != 503 || allowance->second < 1) return;
            allowance->second -= 1;
            connection.late = answer;
            ++copies;
            record.Line("second copy of the answer to " +
                        request.Get("X-Request-Id") + " comes late");
          };
    }
    backends.back()->Start();
  }
  for (int i = 0; i < kGateways; ++i) {
    deployment.AddGateway("gs-a", deployment.StorePort());
  }
  deployment.AwaitReady();
  Sleep(milliseconds(2'000));

  std::vector<std::uint16_t> fronts;
  for (const auto& gateway : deployment.Gateways()) {
    fronts.push_back(gateway->front);
  }
  Outcomes outcomes;
  const Time until = Clock::now() + kPause + kEpisodes * (kEpisode + kPause);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&, i] { RunClient(i, fronts, until, outcomes, record); });
  }
  for (int i = 0; i < kEpisodes; ++i) {
    Sleep(kPause);
    is_on = HasTrouble();
    Sleep(kEpisode);
    is_on = false;
  }
  for (std::thread& client : clients) client.join();
  Sleep(milliseconds(2'500));

  std::map<std::string, int> runs;
  std::uint64_t answers = 0;
  std::uint64_t rejections = 0;
  for (const auto& backend : backends) {
    answers += backend->Answers();
    rejections += backend->Rejections();
    for (const auto& [id, count] : backend->Runs()) runs[id] += count;
  }
  int served = 0;
  int twice = 0;
  int refused = 0;
  for (const auto& [id, status] : outcomes.answers) {
    served += status == 200 ? 1 : 0;
    const bool has_run = runs.contains(id);
    const bool is_promise =
        status == 429 || status == 503 || status == 408 || status == 421;
    if (!is_promise || !has_run) continue;
    ++refused;
    record.Line("REFUSED broken: " + id + " got " + std::to_string(status) +
                " and ran");
  }
  for (const auto& [id, count] : runs) {
    if (count < 2) continue;
    ++twice;
    record.Line("TWICE broken: " + id + " ran " + std::to_string(count) +
                " times");
  }
  record.Line("requests " + std::to_string(outcomes.answers.size()) +
              " served " + std::to_string(served) + " answers of backends " +
              std::to_string(answers) + " rejections " +
              std::to_string(rejections) + " second copies " +
              std::to_string(copies.load()) + " REFUSED " +
              std::to_string(refused) + " TWICE " + std::to_string(twice));
  backends.clear();
  if (served < 500) throw CannotRun("too little was served");
  return refused == 0 && twice == 0;
}

}  // namespace

int main(int argc, char** argv) { return review::RunCase(argc, argv, Holds); }
