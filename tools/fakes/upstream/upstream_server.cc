#include "upstream_server.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <sstream>
#include <utility>
#include <vector>

#include "bamboorack/core/http_text.h"

namespace bamboorack::fakes {
namespace {

using Poco::JSON::Array;
using Poco::Net::HTTPResponse;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Indexed by `OrderError`.
constexpr std::array<int, 3> kOrderStatuses = {409, 410, 412};

// A request that is cancelled before its slot is free never runs.
constexpr std::string_view kTooLate = "deadline";

std::string TextOf(const Poco::JSON::Object& json) {
  std::ostringstream text;
  json.stringify(text);
  return text.str();
}

Poco::JSON::Object ParseBody(const std::string& body) {
  if (body.empty()) return Poco::JSON::Object();
  Poco::JSON::Parser parser;
  return *parser.parse(body).extract<Poco::JSON::Object::Ptr>();
}

Order OrderOf(const Poco::JSON::Object& body) {
  return {body.getValue<std::string>("group"),
          body.getValue<std::string>("instance"),
          body.getValue<Poco::UInt64>("token")};
}

std::vector<std::uint32_t> ShardsOf(const Poco::JSON::Object& body) {
  std::vector<std::uint32_t> shards;
  for (const auto& shard : *body.getArray("shards")) {
    shards.push_back(shard.convert<std::uint32_t>());
  }
  return shards;
}

std::uint64_t NumberOf(const Poco::Net::HTTPServerRequest& request,
                       const std::string& name) {
  return ParseDecimal(request.get(name, "")).value_or(0);
}

RequestOrder OrderOf(const Poco::Net::HTTPServerRequest& request) {
  RequestOrder order;
  order.service = request.get("X-Service", "");
  order.shard = static_cast<std::uint32_t>(NumberOf(request, "X-Shard"));
  order.token = NumberOf(request, "X-Token");
  order.instance = request.get("X-Instance", "");
  order.dispatch = static_cast<std::uint64_t>(NumberOf(request, "X-Dispatch"));
  order.deadline =
      UpstreamReading(milliseconds(NumberOf(request, "X-Deadline-Clock-Ms")));
  order.request_id = request.get("X-Request-Id", "");
  return order;
}

}  // namespace

const std::map<std::string, UpstreamServer::Control, std::less<>>
    UpstreamServer::kControls = {{"/control/clock", &UpstreamServer::Clock},
                                 {"/control/fence", &UpstreamServer::Fence},
                                 {"/control/grant", &UpstreamServer::SetGrant},
                                 {"/control/revoke", &UpstreamServer::Revoke},
                                 {"/control/settle", &UpstreamServer::Settle},
                                 {"/control/cancel", &UpstreamServer::Cancel},
                                 {"/control/ran", &UpstreamServer::Ran},
                                 {"/control/load", &UpstreamServer::Load},
                                 {"/fault", &UpstreamServer::SetFault}};

UpstreamServer::UpstreamServer(const UpstreamSettings& server_settings)
    : settings(server_settings),
      started(steady_clock::now()),
      ownership(server_settings.ownership) {
  this->faults.service_time = server_settings.service_time;
}

UpstreamReading UpstreamServer::Now() const {
  return UpstreamReading(std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - this->started));
}

void UpstreamServer::Stop() {
  const std::lock_guard lock(this->mutex);
  this->is_stopped = true;
  this->changed.notify_all();
}

void UpstreamServer::Handle(Poco::Net::HTTPServerRequest& request,
                            Poco::Net::HTTPServerResponse& response) {
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  std::optional<Reply> reply;
  const auto control = kControls.find(request.getURI());
  try {
    if (control != kControls.end()) {
      reply = (this->*control->second)(ParseBody(body));
    } else {
      reply = this->RunRequest(request, body);
    }
  } catch (const Poco::Exception& error) {
    reply = Reply{400, error.displayText(), {}};
  }
  if (!reply) {
    // Nothing is sent: the connection just ends when the server stops.
    response.setKeepAlive(false);
    return;
  }
  response.setStatus(static_cast<HTTPResponse::HTTPStatus>(reply->status));
  response.setReason(HTTPResponse::getReasonForStatus(response.getStatus()));
  response.setContentType("application/json");
  if (!reply->not_run.empty()) response.set("X-Not-Run", reply->not_run);
  if (request.has("X-Request-Id")) {
    response.set("X-Request-Id", request.get("X-Request-Id"));
  }
  response.sendBuffer(reply->body.data(), reply->body.size());
}

UpstreamServer::Reply UpstreamServer::Clock(const Json& /*body*/) {
  const std::lock_guard lock(this->mutex);
  Json json;
  json.set("instance", this->settings.ownership.instance);
  json.set("clock_ms", this->Now().time_since_epoch().count());
  json.set("token", this->ownership.HighestToken());
  json.set("draining", this->faults.drain);
  return {200, TextOf(json), {}};
}

UpstreamServer::Reply UpstreamServer::Fence(const Json& body) {
  const std::lock_guard lock(this->mutex);
  const Order order = OrderOf(body);
  if (const auto error = this->ownership.Fence(order)) {
    return {kOrderStatuses.at(static_cast<std::size_t>(*error)), "{}", {}};
  }
  const Grant* grant = this->ownership.FindGrant(order.group);
  Array shards;
  if (grant != nullptr) {
    for (const std::uint32_t shard : grant->shards) shards.add(shard);
  }
  Json json;
  json.set("clock_ms", this->Now().time_since_epoch().count());
  json.set("lease_expired",
           grant == nullptr || grant->lease_until <= this->Now());
  json.set("draining", this->faults.drain);
  json.set("shards", shards);
  return {200, TextOf(json), {}};
}

UpstreamServer::Reply UpstreamServer::SetGrant(const Json& body) {
  const std::lock_guard lock(this->mutex);
  const UpstreamReading now = this->Now();
  const auto error = this->ownership.SetGrant(
      OrderOf(body),
      UpstreamReading(
          milliseconds(body.getValue<Poco::Int64>("echo_clock_ms"))),
      milliseconds(body.getValue<Poco::Int64>("lease_ms")),
      body.getValue<bool>("only_if_unexpired"), ShardsOf(body), now);
  if (error) {
    return {kOrderStatuses.at(static_cast<std::size_t>(*error)), "{}", {}};
  }
  Json json;
  json.set("clock_ms", now.time_since_epoch().count());
  json.set("draining", this->faults.drain);
  return {200, TextOf(json), {}};
}

UpstreamServer::Reply UpstreamServer::Revoke(const Json& body) {
  std::unique_lock lock(this->mutex);
  const Order order = OrderOf(body);
  const auto shards = ShardsOf(body);
  if (const auto error = this->ownership.Revoke(order, shards)) {
    return {kOrderStatuses.at(static_cast<std::size_t>(*error)), "{}", {}};
  }
  this->changed.wait(lock, [&] {
    return this->is_stopped || !this->ownership.HasPending(order.group, shards);
  });
  return {};
}

UpstreamServer::Reply UpstreamServer::Settle(const Json& body) {
  if (!this->settings.can_settle) return {501, "{}", {}};
  const auto instance = body.optValue<std::string>("instance", "");
  if (!instance.empty() && instance != this->settings.ownership.instance) {
    return {410, "{}", {}};
  }
  const std::lock_guard lock(this->mutex);
  Json json;
  RequestOrder through;
  through.request_id = body.getValue<std::string>("request_id");
  through.token = body.getValue<Poco::UInt64>("token");
  through.dispatch = body.getValue<Poco::UInt64>("dispatch");
  json.set("state", std::string(this->ownership.Settle(through)));
  return {200, TextOf(json), {}};
}

UpstreamServer::Reply UpstreamServer::Cancel(const Json& body) {
  const std::lock_guard lock(this->mutex);
  this->cancelled_ids.insert(body.getValue<std::string>("request_id"));
  this->changed.notify_all();
  return {};
}

UpstreamServer::Reply UpstreamServer::Ran(const Json& /*body*/) {
  const std::lock_guard lock(this->mutex);
  Json json;
  for (const auto& [id, runs] : this->ownership.Runs()) json.set(id, runs);
  return {200, TextOf(json), {}};
}

UpstreamServer::Reply UpstreamServer::Load(const Json& /*body*/) {
  const std::lock_guard lock(this->mutex);
  Json json;
  json.set("running", static_cast<Poco::UInt64>(this->running));
  json.set("waiting", static_cast<Poco::UInt64>(this->waiting));
  return {200, TextOf(json), {}};
}

UpstreamServer::Reply UpstreamServer::SetFault(const Json& body) {
  const std::lock_guard lock(this->mutex);
  this->faults.drain = body.optValue("drain", this->faults.drain);
  this->faults.shed = body.optValue("shed", this->faults.shed);
  this->faults.swallow = body.optValue("swallow", this->faults.swallow);
  this->faults.service_time = milliseconds(body.optValue(
      "service_ms",
      static_cast<Poco::Int64>(this->faults.service_time.count())));
  this->changed.notify_all();
  return {};
}

std::optional<UpstreamServer::Reply> UpstreamServer::RunRequest(
    Poco::Net::HTTPServerRequest& request, const std::string& body) {
  const RequestOrder order = OrderOf(request);
  std::unique_lock lock(this->mutex);
  auto not_run = this->ownership.Admit(order, this->faults.drain, this->Now());
  if (not_run) return Reply{503, "{}", std::string(*not_run)};
  not_run = this->WaitForSlot(order, lock);
  // The lease may have ended while the request waited.
  if (!not_run) not_run = this->ownership.FindRefusal(order, this->Now());
  if (not_run) {
    this->ownership.MarkNotRun(order);
    this->changed.notify_all();
    return Reply{503, "{}", std::string(*not_run)};
  }
  this->Work(order, lock);
  this->ownership.MarkRan(order);
  this->changed.notify_all();
  if (!this->faults.swallow) {
    return this->MakeDataReply(request, order, body.size());
  }
  this->changed.wait(
      lock, [this] { return this->is_stopped || !this->faults.swallow; });
  return std::nullopt;
}

std::optional<std::string_view> UpstreamServer::WaitForSlot(
    const RequestOrder& order, std::unique_lock<std::mutex>& lock) {
  const auto is_full = [this] { return this->running >= this->settings.slots; };
  if (this->faults.shed ||
      (is_full() && this->waiting >= this->settings.slots)) {
    return "shed";
  }
  ++this->waiting;
  const auto is_cancelled = [this, &order] {
    return this->is_stopped || this->cancelled_ids.count(order.request_id) > 0;
  };
  this->changed.wait_until(lock,
                           this->started + order.deadline.time_since_epoch(),
                           [&] { return is_cancelled() || !is_full(); });
  --this->waiting;
  if (is_cancelled() || is_full() || this->Now() >= order.deadline) {
    return kTooLate;
  }
  return std::nullopt;
}

void UpstreamServer::Work(const RequestOrder& order,
                          std::unique_lock<std::mutex>& lock) {
  ++this->running;
  this->changed.wait_until(
      lock, steady_clock::now() + this->faults.service_time, [this, &order] {
        return this->is_stopped ||
               this->cancelled_ids.count(order.request_id) > 0;
      });
  --this->running;
  this->changed.notify_all();
}

UpstreamServer::Reply UpstreamServer::MakeDataReply(
    const Poco::Net::HTTPServerRequest& request, const RequestOrder& order,
    std::size_t body_bytes) const {
  const std::string path = request.getURI().substr(1);
  Json json(Poco::JSON_PRESERVE_KEY_ORDER);
  json.set("upstream", this->settings.id);
  json.set("instance", this->settings.ownership.instance);
  json.set("key", PercentDecode(path.substr(0, path.find_first_of("/?")))
                      .value_or(std::string()));
  json.set("request_id", order.request_id);
  json.set("method", request.getMethod());
  json.set("body_bytes", static_cast<Poco::UInt64>(body_bytes));
  json.set("runs", this->ownership.Runs().at(order.request_id));
  return {200, TextOf(json), {}};
}

}  // namespace bamboorack::fakes
