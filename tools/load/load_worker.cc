#include "load_worker.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <unistd.h>

#include <algorithm>
#include <thread>

namespace bamboorack::load {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Longer than the request's own limit, so that the daemon's answer comes first.
constexpr milliseconds kAnswerMargin{300};

}  // namespace

LoadWorker::LoadWorker(const LoadSettings& load_settings, int worker_number)
    : settings(load_settings),
      number(worker_number),
      target(static_cast<std::size_t>(worker_number) %
             load_settings.targets.size()) {}

LoadReport LoadWorker::Run() {
  const MonotonicTime started = steady_clock::now();
  for (int key = 0; key < this->settings.keys_per_worker; ++key) {
    this->last_done[key] = started;
  }
  int key = 0;
  while (steady_clock::now() < this->settings.end_at) {
    this->SendOne(key);
    key = (key + 1) % this->settings.keys_per_worker;
    std::this_thread::sleep_for(this->settings.pause);
  }
  const MonotonicTime ended = steady_clock::now();
  for (const auto& [key_number, done] : this->last_done) {
    this->report.longest_gap = std::max(
        this->report.longest_gap, duration_cast<milliseconds>(ended - done));
  }
  return std::move(this->report);
}

void LoadWorker::SendOne(int key_number) {
  const std::string key =
      "w" + std::to_string(this->number) + "k" + std::to_string(key_number);
  const std::string id = std::to_string(::getpid()) + "-" +
                         std::to_string(this->number) + "-" +
                         std::to_string(++this->sent);
  const MonotonicTime started = steady_clock::now();
  const std::string outcome = this->Exchange(key, id);
  const MonotonicTime ended = steady_clock::now();
  ++this->report.outcomes[outcome];
  if (this->settings.rank != Rank::kLookup) {
    this->report.requests.push_back({id, outcome});
  }
  if (outcome != "done") return;
  this->report.latencies.push_back(
      duration_cast<microseconds>(ended - started));
  MonotonicTime& last = this->last_done[key_number];
  this->report.longest_gap = std::max(
      this->report.longest_gap, duration_cast<milliseconds>(ended - last));
  last = ended;
}

void LoadWorker::Connect() {
  const Endpoint& endpoint = this->settings.targets[this->target];
  this->session = std::make_unique<Poco::Net::HTTPClientSession>(endpoint.host,
                                                                 endpoint.port);
  this->session->setKeepAlive(true);
  const auto limit = this->settings.request_limit + kAnswerMargin;
  this->session->setTimeout(
      Poco::Timespan(duration_cast<microseconds>(limit).count()));
}

std::string LoadWorker::Exchange(const std::string& key,
                                 const std::string& id) {
  using Poco::Net::HTTPRequest;
  const bool is_lookup = this->settings.rank == Rank::kLookup;
  try {
    if (this->session == nullptr) this->Connect();
    HTTPRequest request(
        is_lookup ? HTTPRequest::HTTP_GET : HTTPRequest::HTTP_POST,
        "/v1/" + this->settings.service + "/" + key, HTTPRequest::HTTP_1_1);
    request.set("X-Request-Id", id);
    request.set("X-Rank", std::string(NameOf(this->settings.rank)));
    request.set("X-Deadline-Ms",
                std::to_string(this->settings.request_limit.count()));
    request.setContentLength64(
        static_cast<Poco::Int64>(this->settings.body_bytes));
    this->session->sendRequest(request)
        << std::string(this->settings.body_bytes, 'b') << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& stream = this->session->receiveResponse(response);
    std::string body;
    Poco::StreamCopier::copyToString(stream, body);
    std::string outcome = response.get("X-Bamboorack-Outcome", "no_answer");
    if (outcome != "done") {
      ++this->report.reasons[response.get("X-Bamboorack-Reason", "none")];
    } else {
      this->CheckEcho(body, key, id);
    }
    return outcome;
  } catch (const Poco::Net::ConnectionRefusedException&) {
    this->UseNextTarget();
    return "no_connection";
  } catch (const Poco::Exception&) {
    this->UseNextTarget();
    return "no_answer";
  }
}

void LoadWorker::UseNextTarget() {
  this->session.reset();
  this->target = (this->target + 1) % this->settings.targets.size();
}

void LoadWorker::CheckEcho(const std::string& body, const std::string& key,
                           const std::string& id) {
  const bool is_own = body.find('"' + key + '"') != std::string::npos &&
                      body.find('"' + id + '"') != std::string::npos;
  if (!is_own) ++this->report.wrong_answers;
}

}  // namespace bamboorack::load
