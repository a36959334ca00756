#include "backend.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

#include "http_stand_in.h"

namespace review {
namespace {

constexpr std::size_t kKeys = 65'536;
// `heartbeat` of the settings.
constexpr milliseconds kHeartbeat{870};
constexpr int kSlots = 6;
constexpr int kQueued = 12;

milliseconds ParseTime(const std::string& text) {
  const double number = std::stod(text);
  return milliseconds(
      static_cast<long long>(text.ends_with("ms") ? number : number * 1'000));
}

Poco::JSON::Object::Ptr ParseJson(const std::string& text) {
  Poco::JSON::Parser parser;
  return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

}  // namespace

void Journal::Line(const std::string& text) {
  const std::lock_guard lock(this->mutex);
  this->out << this->Since(Clock::now()) << " ms " << text << '\n'
            << std::flush;
}

long long Journal::Since(Time time) const {
  return std::chrono::duration_cast<milliseconds>(time - this->start).count();
}

Backend::Backend(BackendPlan backend_plan, Store& platform_store, Fleet& all,
                 Journal& record)
    : plan(std::move(backend_plan)),
      store(platform_store),
      fleet(all),
      journal(record),
      born(std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      held_until(kKeys),
      epochs(kKeys),
      running(kKeys) {}

Backend::~Backend() { this->Stop(); }

void Backend::Start() {
  this->server = ServeOnLoopback(*this, 100);
  this->journal.Line("backend " + this->plan.id + " of " + this->plan.service +
                     " starts");
  this->beats =
      std::jthread([this](const std::stop_token& stop) { this->Beat(stop); });
}

void Backend::Stop() {
  if (this->server == nullptr) return;
  this->beats.request_stop();
  this->beats.join();
  this->server->stopAll(true);
  this->server.reset();
}

bool Backend::Register() {
  std::ostringstream entry;
  entry << R"({"address":"127.0.0.1:)" << this->server->port() << R"(","born":)"
        << this->born << R"(,"info":{"service":")" << this->plan.service
        << R"(","version":"v1","zone":")" << this->plan.zone << R"(","slots":)"
        << kSlots << R"(},"status":{"state":")"
        << (this->is_leaving ? "draining" : "ready") << R"(","seq":)"
        << ++this->seq << R"(,"warmup_left":"0ms"}})";
  return this->store.Write("keyed.servers", this->plan.id, entry.str());
}

void Backend::Beat(const std::stop_token& stop) {
  std::uint64_t era = 0;
  Time next = Clock::now();
  while (!stop.stop_requested() && !this->has_ended) {
    // What the backends wrote is written again when the store is back.
    const bool is_back = this->plan.writes_at_once && this->store.Era() != era;
    if (Clock::now() >= next || is_back) {
      era = this->store.Era();
      this->last_beat = Clock::now();
      if (this->Register() || !this->plan.writes_at_once) {
        next = Clock::now() + kHeartbeat;
      }
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
}

Time Backend::Leave() {
  this->is_leaving = true;
  this->Register();
  const Time accepted = Clock::now();
  this->journal.Line("backend " + this->plan.id + " reports draining");
  return accepted;
}

void Backend::End() {
  this->journal.Line("backend " + this->plan.id + " ends");
  this->has_ended = true;
}

bool Backend::HoldsLocked(std::uint32_t key, Time now) const {
  return now < this->held_until[key];
}

void Backend::Handle(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) {
  const Time arrived = Clock::now();
  if (this->has_ended) return CloseWithoutAnswer(request);
  if (this->is_leaving) response.set("Server-Leaving", "1");
  const std::string expected = request.get("X-Expect-Instance", "");
  if (!expected.empty() && expected != this->plan.id) {
    BodyOf(request);
    response.set("X-Instance-Id", this->plan.id);
    return Answer(response, 421, "");
  }
  if (request.getURI() == "/health") {
    response.set("X-Instance-Id", this->plan.id);
    return Answer(response, 200, "");
  }
  if (request.getURI() == "/-/grant") {
    return Answer(response, this->Grant(BodyOf(request), arrived), "");
  }
  if (request.getURI() == "/-/release") {
    this->Release(BodyOf(request));
    response.set("X-Handover",
                 this->plan.id + "-" + std::to_string(++this->handovers));
    return Answer(response, 200, "");
  }
  this->RunRequest(request, response);
}

int Backend::Grant(const std::string& body, Time arrived) {
  const auto json = ParseJson(body);
  const auto first = json->getValue<std::uint32_t>("from");
  const auto last = json->getValue<std::uint32_t>("to");
  const auto epoch = json->getValue<std::uint64_t>("fence");
  const Time until =
      arrived + ParseTime(json->getValue<std::string>("hold_time"));
  const std::lock_guard lock(this->fleet.mutex);
  for (std::uint32_t key = first; key <= last; ++key) {
    if (this->epochs[key] > epoch) {
      this->journal.Line("grant refused backend=" + this->plan.id + " keys=" +
                         std::to_string(first) + "-" + std::to_string(last) +
                         " epoch=" + std::to_string(epoch) +
                         " seen=" + std::to_string(this->epochs[key]));
      return 409;
    }
  }
  bool is_new = false;
  bool is_stale = false;
  for (std::uint32_t key = first; key <= last; ++key) {
    is_new |= !this->HoldsLocked(key, arrived);
    for (const auto& other : this->fleet.backends) {
      if (other.get() == this || other->Plan().service != this->plan.service) {
        continue;
      }
      is_stale |= other->EpochLocked(key) >= epoch;
    }
    this->epochs[key] = epoch;
    this->held_until[key] = until;
  }
  const std::string text =
      "grant backend=" + this->plan.id + " keys=" + std::to_string(first) +
      "-" + std::to_string(last) + " epoch=" + std::to_string(epoch) +
      " until=" + std::to_string(this->journal.Since(until)) +
      (is_new ? " taken" : " renewed");
  this->journal.Line(text);
  if (is_stale) this->fleet.stale_epochs.push_back(text);
  return 200;
}

void Backend::Release(const std::string& body) {
  const auto json = ParseJson(body);
  const auto first = json->getValue<std::uint32_t>("from");
  const auto last = json->getValue<std::uint32_t>("to");
  while (true) {
    {
      const std::lock_guard lock(this->fleet.mutex);
      bool is_idle = true;
      for (std::uint32_t key = first; key <= last; ++key) {
        this->held_until[key] = Time();
        is_idle &= this->running[key] == 0;
      }
      if (is_idle) break;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  this->journal.Line("release backend=" + this->plan.id + " keys=" +
                     std::to_string(first) + "-" + std::to_string(last));
}

void Backend::RunRequest(Poco::Net::HTTPServerRequest& request,
                         Poco::Net::HTTPServerResponse& response) {
  BodyOf(request);
  const std::string id = request.get("X-Request-Id", "");
  const auto key = static_cast<std::uint32_t>(
      std::stoul(request.get("X-Shard-Key", "0")) % kKeys);
  response.set("X-Request-Id", id);
  if (++this->busy > kSlots + kQueued) {
    --this->busy;
    response.set("X-Not-Executed", "1");
    return Answer(response, 503, "");
  }
  bool is_refused = false;
  {
    const std::lock_guard lock(this->fleet.mutex);
    is_refused = this->plan.is_sharded && !this->HoldsLocked(key, Clock::now());
    if (!is_refused) {
      ++this->running[key];
      this->fleet.runs.push_back({Clock::now(), id, request.getURI(),
                                  this->plan.service, this->plan.id});
    }
  }
  if (is_refused) {
    --this->busy;
    response.set("X-Not-Executed", "1");
    return Answer(response, 421, "");
  }
  this->journal.Line("run backend=" + this->plan.id + " request=" + id +
                     " path=" + request.getURI() +
                     " key=" + std::to_string(key));
  std::this_thread::sleep_for(this->plan.work);
  {
    const std::lock_guard lock(this->fleet.mutex);
    --this->running[key];
  }
  --this->busy;
  if (this->has_ended) return CloseWithoutAnswer(request);
  response.set("X-Server-Stamp", this->plan.id + "." + id);
  Answer(response, 200, "ran " + id);
}

}  // namespace review
