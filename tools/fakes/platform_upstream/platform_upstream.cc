#include "fakes/platform_upstream/platform_upstream.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <algorithm>
#include <array>
#include <sstream>

#include "bamboorack/core/http_client.h"
#include "bamboorack/core/stoppable_wait.h"
#include "fakes/common/http_fake.h"
#include "fakes/platform_upstream/malformed_answer.h"

namespace bamboorack::fakes {
namespace {

using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kHeartbeat{400};
constexpr milliseconds kStoreLimit{1'000};
constexpr int kThreads = 48;
// Smaller uploads may fit into the buffers on the way.
constexpr std::int64_t kMinUpload = 100'000;
// The caller gets the part of the answer before the reset.
constexpr milliseconds kResetDelay{40};
// Statuses that mean that a request did not run, if the answer says so.
constexpr std::array kRejections = {503, 429, 408, 421};

std::string Nanoseconds(steady_clock::time_point time) {
  return std::to_string(time.time_since_epoch().count());
}

milliseconds ParseMilliseconds(const std::string& text) {
  return milliseconds(std::stoll(text));
}

void Refuse(HTTPServerRequest& request, HTTPServerResponse& response,
            int status) {
  // What is left of the body would be taken for the next request.
  ReadBody(request);
  response.set("X-Not-Executed", "1");
  SendJson(response, status, "{}");
}

}  // namespace

PlatformUpstream::PlatformUpstream(PlatformUpstreamSettings upstream_settings,
                                   std::ostream& events)
    : settings(std::move(upstream_settings)),
      out(events),
      born(std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()) {}

PlatformUpstream::~PlatformUpstream() { this->Stop(); }

void PlatformUpstream::Start(std::uint16_t port) {
  this->server = ServeOnLoopback<kThreads>(*this, port, true);
  this->beat_thread =
      std::jthread([this](const std::stop_token& stop) { this->Beat(stop); });
}

void PlatformUpstream::Stop() {
  if (this->server == nullptr) return;
  this->beat_thread.request_stop();
  this->beat_thread.join();
  this->server->stopAll(true);
  this->server.reset();
}

std::uint16_t PlatformUpstream::Port() const { return this->server->port(); }

void PlatformUpstream::Write(const std::string& line) {
  this->out << line << std::endl;
}

void PlatformUpstream::Beat(const std::stop_token& stop) {
  do {
    this->Register(false);
  } while (WaitUntil(stop, steady_clock::now() + kHeartbeat));
}

void PlatformUpstream::Register(bool is_draining) {
  const std::uint16_t port = this->settings.advertised_port != 0
                                 ? this->settings.advertised_port
                                 : this->Port();
  std::ostringstream value;
  value << R"({"address":"127.0.0.1:)" << port << R"(","born":)" << this->born
        << R"(,"info":{"service":")" << this->settings.service
        << R"(","version":"v1","zone":")" << this->settings.zone
        << R"(","slots":)" << this->settings.slots << R"(},"status":{"state":")"
        << (is_draining ? "draining" : "ready") << R"(","seq":)"
        << ++this->beats << R"(,"warmup_left":"0ms"}})";
  std::string content(1, static_cast<char>(this->settings.id.size()));
  content += this->settings.id + value.str();
  std::string body;
  for (int shift = 24; shift >= 0; shift -= 8) {
    body.push_back(static_cast<char>((content.size() >> shift) & 0xFFU));
  }
  body += content;
  HttpClient store({"127.0.0.1", this->settings.store_port}, kStoreLimit);
  // A beat that is lost is followed by the next one.
  store.Call({"POST", "/-/log-append?topic=keyed.servers&part=0", body},
             steady_clock::now() + kStoreLimit, {});
}

void PlatformUpstream::Handle(HTTPServerRequest& request,
                              HTTPServerResponse& response) {
  const Time arrived = steady_clock::now();
  if (this->settings.is_leaving) response.set("Server-Leaving", "1");
  const std::string expected = request.get("X-Expect-Instance", "");
  if (!expected.empty() && expected != this->settings.id) {
    response.set("X-Instance-Id", this->settings.id);
    SendJson(response, 421, "{}");
    return;
  }
  if (request.getURI() == "/-/grant") {
    SendJson(response, this->Grant(ReadBody(request), arrived), "{}");
    return;
  }
  if (request.getURI() == "/-/release") {
    response.set("X-Handover", this->Release(ReadBody(request)));
    SendJson(response, 200, "{}");
    return;
  }
  this->Run(request, response);
}

int PlatformUpstream::Grant(const std::string& body, Time arrived) {
  Poco::JSON::Parser parser;
  const auto json = parser.parse(body).extract<Object::Ptr>();
  Hold hold;
  hold.first = json->getValue<std::uint32_t>("from");
  hold.last = json->getValue<std::uint32_t>("to");
  hold.token = json->getValue<std::uint64_t>("fence");
  hold.until =
      arrived + ParseMilliseconds(json->getValue<std::string>("hold_time"));
  const std::lock_guard lock(this->mutex);
  for (const auto& [keys, token] : this->seen) {
    const bool overlaps = keys.first <= hold.last && hold.first <= keys.second;
    if (overlaps && hold.token < token) return 409;
  }
  std::erase_if(this->seen, [&hold](const auto& row) {
    return hold.first <= row.first.first && row.first.second <= hold.last;
  });
  this->seen.push_back({{hold.first, hold.last}, hold.token});
  // A longer hold of the same keys stays.
  std::erase_if(this->holds, [arrived](const Hold& earlier) {
    return earlier.until <= arrived;
  });
  this->holds.push_back(hold);
  this->Write("{\"event\":\"grant\",\"at\":" + Nanoseconds(arrived) +
              ",\"first\":" + std::to_string(hold.first) +
              ",\"last\":" + std::to_string(hold.last) +
              ",\"token\":" + std::to_string(hold.token) +
              ",\"until\":" + Nanoseconds(hold.until) + "}");
  return 200;
}

std::string PlatformUpstream::Release(const std::string& body) {
  Poco::JSON::Parser parser;
  const auto json = parser.parse(body).extract<Object::Ptr>();
  const auto first = json->getValue<std::uint32_t>("from");
  const auto last = json->getValue<std::uint32_t>("to");
  {
    const std::lock_guard lock(this->mutex);
    this->CutLocked(first, last);
    this->Write(
        "{\"event\":\"release\",\"at\":" + Nanoseconds(steady_clock::now()) +
        ",\"first\":" + std::to_string(first) +
        ",\"last\":" + std::to_string(last) + "}");
  }
  // The answer waits until the work on the keys has ended.
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      const auto run = this->running.lower_bound(first);
      if (run == this->running.end() || run->first > last) break;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return this->settings.id + "-" + std::to_string(++this->handovers);
}

void PlatformUpstream::CutLocked(std::uint32_t first, std::uint32_t last) {
  std::vector<Hold> kept;
  for (const Hold& hold : this->holds) {
    if (last < hold.first || hold.last < first) {
      kept.push_back(hold);
      continue;
    }
    Hold part = hold;
    if (hold.first < first) {
      part.last = first - 1;
      kept.push_back(part);
    }
    part = hold;
    if (last < hold.last) {
      part.first = last + 1;
      kept.push_back(part);
    }
  }
  this->holds = std::move(kept);
}

bool PlatformUpstream::HoldsLocked(std::uint32_t key) const {
  const Time now = steady_clock::now();
  return std::any_of(
      this->holds.begin(), this->holds.end(), [key, now](const Hold& hold) {
        return hold.first <= key && key <= hold.last && now < hold.until;
      });
}

bool PlatformUpstream::AskForTime(std::uint64_t number,
                                  HTTPServerRequest& request,
                                  HTTPServerResponse& response) {
  const std::uint32_t every = this->settings.pause_every;
  if (every == 0 || number % every != 0) return false;
  response.set("Retry-After", this->settings.retry_after);
  Refuse(request, response, 503);
  return true;
}

void PlatformUpstream::SendAgain(HTTPServerRequest& request,
                                 const HTTPServerResponse& response,
                                 const std::string& body) {
  std::this_thread::sleep_for(this->settings.second_answer_delay);
  std::ostringstream answer;
  response.write(answer);
  answer << body;
  const std::string text = answer.str();
  auto& connection =
      dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
  try {
    connection.sendBytes(text.data(), static_cast<int>(text.size()));
  } catch (const Poco::Exception&) {
    // The caller has closed the connection.
    return;
  }
}

int PlatformUpstream::Admit(std::uint32_t key, const std::string& id,
                            const std::string& method, std::size_t body_bytes) {
  const std::lock_guard lock(this->mutex);
  if (this->settings.is_sharded && !this->HoldsLocked(key)) return 421;
  if (this->busy >= this->settings.slots * 3) return 503;
  ++this->busy;
  this->running.emplace(key, id);
  this->Write("{\"event\":\"run\",\"at\":" + Nanoseconds(steady_clock::now()) +
              ",\"id\":\"" + id + "\",\"method\":\"" + method +
              "\",\"key\":" + std::to_string(key) +
              ",\"body\":" + std::to_string(body_bytes) + "}");
  return 0;
}

bool PlatformUpstream::IsAnsweredEarly(const HTTPServerRequest& request,
                                       std::uint64_t number) const {
  const std::uint32_t every = this->settings.broken_off_answer_every;
  return every != 0 && number % every == 0 &&
         request.getContentLength64() >= kMinUpload;
}

void PlatformUpstream::BreakOff(HTTPServerRequest& request,
                                const HTTPServerResponse& response,
                                const std::string& body, bool is_whole) {
  std::ostringstream answer;
  response.write(answer);
  answer << (is_whole ? body : body.substr(0, body.size() / 2));
  const std::string text = answer.str();
  auto& connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  Poco::Net::StreamSocket socket = connection.detachSocket();
  try {
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    std::this_thread::sleep_for(kResetDelay);
    socket.setLinger(true, 0);
    socket.close();
  } catch (const Poco::Exception&) {
    // The caller has closed the connection.
    return;
  }
}

void PlatformUpstream::SendMalformed(HTTPServerRequest& request,
                                     HTTPServerResponse& response,
                                     const std::string& body,
                                     std::uint64_t number) {
  response.setContentLength64(static_cast<Poco::Int64>(body.size()));
  std::ostringstream answer;
  response.write(answer);
  answer << body;
  const std::string text = Malform(answer.str(), number);
  auto& connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  Poco::Net::StreamSocket socket = connection.detachSocket();
  try {
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    socket.close();
  } catch (const Poco::Exception&) {
    // The caller has closed the connection.
    return;
  }
}

void PlatformUpstream::Run(HTTPServerRequest& request,
                           HTTPServerResponse& response) {
  const std::uint64_t number = ++this->requests;
  const bool is_early = this->IsAnsweredEarly(request, number);
  const std::size_t body_bytes = is_early ? 0 : ReadBody(request).size();
  const std::string id = request.get("X-Request-Id", "");
  const std::string key_text = request.get("X-Shard-Key", "0");
  const auto key = static_cast<std::uint32_t>(std::stoul(key_text));
  response.set("X-Request-Id", id);
  if (this->AskForTime(number, request, response)) return;
  if (const int status =
          this->Admit(key, id, request.getMethod(), body_bytes)) {
    return Refuse(request, response, status);
  }
  std::this_thread::sleep_for(this->settings.work);
  {
    const std::lock_guard lock(this->mutex);
    --this->busy;
    const auto runs = this->running.equal_range(key);
    this->running.erase(
        std::find_if(runs.first, runs.second,
                     [&id](const auto& run) { return run.second == id; }));
  }
  response.set("X-Server-Stamp", this->settings.id + "." + id);
  const std::string answer = "{\"id\":\"" + id + "\"}";
  if (is_early) {
    const bool is_whole =
        number / this->settings.broken_off_answer_every % 2 == 0;
    if (is_whole) {
      response.setContentLength64(static_cast<Poco::Int64>(answer.size()));
    }
    this->BreakOff(request, response, answer, is_whole);
    return;
  }
  const std::uint32_t malformed = this->settings.malformed_answer_every;
  if (malformed != 0 && number % malformed == 0) {
    SendMalformed(request, response, answer, number / malformed);
    return;
  }
  const std::uint32_t rejected = this->settings.own_rejection_every;
  if (rejected != 0 && number % rejected == 0) {
    SendJson(response, kRejections.at(number / rejected % kRejections.size()),
             answer);
    return;
  }
  SendJson(response, 200, answer);
  const std::uint32_t every = this->settings.second_answer_every;
  if (every != 0 && number % every == 0) {
    this->SendAgain(request, response, answer);
  }
}

}  // namespace bamboorack::fakes
