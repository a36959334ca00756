#include "fakes/platform_store/platform_store.h"

#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>
#include <utility>

#include "fakes/common/http_fake.h"

namespace bamboorack::fakes {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kSilence{3};
constexpr int kThreads = 64;

constexpr std::array<std::pair<std::string_view, StoreFault>, 6> kFaults = {
    std::pair{"none", StoreFault::kNone},
    std::pair{"busy", StoreFault::kBusy},
    std::pair{"throttle", StoreFault::kThrottle},
    std::pair{"reset", StoreFault::kReset},
    std::pair{"silent", StoreFault::kSilent},
    std::pair{"lost-answers", StoreFault::kLostAnswers}};

std::string Get(const std::map<std::string, std::string>& query,
                const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

std::uint64_t GetNumber(const std::map<std::string, std::string>& query,
                        const std::string& name) {
  const std::string text = Get(query, name);
  return text.empty() ? 0 : std::stoull(text);
}

template <typename Number>
void AppendBigEndian(std::string& bytes, Number number) {
  for (int shift = (sizeof(Number) - 1) * 8; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((number >> shift) & 0xFFU));
  }
}

std::uint32_t ReadLength(const std::string& body, std::size_t at) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(body.at(at + i));
  }
  return length;
}

std::vector<KeyedPartition::Record> SplitRecords(const std::string& body) {
  std::vector<KeyedPartition::Record> records;
  std::size_t at = 0;
  while (at + 4 < body.size()) {
    const std::string content = body.substr(at + 4, ReadLength(body, at));
    at += 4 + content.size();
    const auto key_length = static_cast<unsigned char>(content.at(0));
    records.push_back(
        {content.substr(1, key_length), content.substr(1U + key_length)});
  }
  return records;
}

void Send(HTTPServerResponse& response, int status, const std::string& text) {
  SendJson(response, status, text);
}

std::string ToBase64(const std::string& text) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << text;
  encoder.close();
  return out.str();
}

}  // namespace

void KeyedPartition::Append(Record record) {
  if (record.value.empty()) {
    this->newest.erase(record.key);
  } else {
    this->newest[record.key] = record;
  }
  this->records.push_back(std::move(record));
}

void KeyedPartition::DropHistory() {
  this->first = this->End();
  this->records.clear();
}

std::vector<KeyedPartition::Record> KeyedPartition::From(
    std::uint64_t offset) const {
  if (offset >= this->End()) return {};
  return {
      this->records.begin() + static_cast<std::ptrdiff_t>(offset - this->first),
      this->records.end()};
}

const std::vector<PlatformStore::Row> PlatformStore::kRows = {
    {"/-/log-append", &PlatformStore::Append},
    {"/-/log-read", &PlatformStore::ReadFrom},
    {"/-/log-newest", &PlatformStore::ReadNewest},
    {"/fake/fault", &PlatformStore::FakeFault},
    {"/fake/drop-history", &PlatformStore::FakeDrop}};

PlatformStore::PlatformStore() = default;

PlatformStore::~PlatformStore() { this->Stop(); }

void PlatformStore::Start(std::uint16_t port) {
  this->server = ServeOnLoopback<kThreads>(*this, port);
}

void PlatformStore::Stop() {
  if (this->server == nullptr) return;
  {
    const std::lock_guard lock(this->mutex);
    this->is_stopping = true;
  }
  this->appended.notify_all();
  this->server->stopAll(true);
  this->server.reset();
}

std::uint16_t PlatformStore::Port() const { return this->server->port(); }

void PlatformStore::SetFault(StoreFault new_fault) {
  const std::lock_guard lock(this->mutex);
  this->fault = new_fault;
}

void PlatformStore::DropHistory() {
  const std::lock_guard lock(this->mutex);
  for (auto& [name, partition] : this->topics) partition.DropHistory();
}

void PlatformStore::Write(const std::string& topic, const std::string& key,
                          const std::string& value) {
  {
    const std::lock_guard lock(this->mutex);
    this->topics[topic].Append({key, value});
  }
  this->appended.notify_all();
}

std::optional<std::string> PlatformStore::Read(const std::string& topic,
                                               const std::string& key) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->topics.find(topic);
  if (found == this->topics.end()) return std::nullopt;
  const auto record = found->second.Newest().find(key);
  if (record == found->second.Newest().end()) return std::nullopt;
  return record->second.value;
}

std::uint64_t PlatformStore::Calls() const {
  const std::lock_guard lock(this->mutex);
  return this->calls;
}

void PlatformStore::Handle(HTTPServerRequest& request,
                           HTTPServerResponse& response) {
  const Poco::URI uri(request.getURI());
  const std::string body = ReadBody(request);
  Query query;
  for (const auto& [name, value] : uri.getQueryParameters()) {
    query[name] = value;
  }
  StoreFault active = StoreFault::kNone;
  const bool is_own_call = uri.getPath().starts_with("/fake/");
  if (!is_own_call) {
    std::unique_lock lock(this->mutex);
    ++this->calls;
    active = this->fault;
    if (active == StoreFault::kSilent) {
      this->appended.wait_for(lock, kSilence,
                              [this] { return this->is_stopping; });
    }
  }
  if (active == StoreFault::kBusy) return Send(response, 503, "{}");
  if (active == StoreFault::kThrottle) return Send(response, 429, "{}");
  const bool is_append = uri.getPath() == "/-/log-append";
  const bool drops_answer = active == StoreFault::kReset ||
                            active == StoreFault::kSilent ||
                            (active == StoreFault::kLostAnswers && is_append);
  if (active == StoreFault::kLostAnswers && is_append) {
    const std::lock_guard lock(this->mutex);
    KeyedPartition& partition = this->topics[Get(query, "topic")];
    const bool holds = Get(query, "as_of").empty() ||
                       GetNumber(query, "as_of") == partition.End();
    if (holds) {
      for (auto& record : SplitRecords(body)) {
        partition.Append(std::move(record));
      }
    }
  }
  if (drops_answer) return CloseWithoutAnswer(request);
  for (const Row& row : kRows) {
    if (uri.getPath() == row.path) {
      return (this->*row.handle)(query, body, response);
    }
  }
  Send(response, 404, "{}");
}

void PlatformStore::Append(const Query& query, const std::string& body,
                           HTTPServerResponse& response) {
  Poco::JSON::Object answer;
  int status = 200;
  {
    const std::lock_guard lock(this->mutex);
    KeyedPartition& partition = this->topics[Get(query, "topic")];
    const std::uint64_t offset = partition.End();
    const bool is_conditional = !Get(query, "as_of").empty();
    if (is_conditional && GetNumber(query, "as_of") != offset) {
      status = 412;
    } else {
      for (auto& record : SplitRecords(body)) {
        partition.Append(std::move(record));
      }
      answer.set("offset", offset);
    }
    answer.set("end", partition.End());
  }
  this->appended.notify_all();
  std::ostringstream text;
  answer.stringify(text);
  Send(response, status, text.str());
}

void PlatformStore::ReadFrom(const Query& query, const std::string& /*body*/,
                             HTTPServerResponse& response) {
  std::string bytes;
  {
    std::unique_lock lock(this->mutex);
    KeyedPartition& partition = this->topics[Get(query, "topic")];
    const std::uint64_t from = GetNumber(query, "from");
    this->appended.wait_for(
        lock, milliseconds(GetNumber(query, "wait_ms")),
        [&] { return this->is_stopping || partition.End() > from; });
    if (from < partition.First()) {
      return Send(response, 410,
                  "{\"first\":" + std::to_string(partition.First()) + "}");
    }
    AppendBigEndian(bytes, partition.End());
    AppendBigEndian(bytes, partition.First());
    for (const auto& record : partition.From(from)) {
      std::string content(1, static_cast<char>(record.key.size()));
      content += record.key + record.value;
      AppendBigEndian(bytes, static_cast<std::uint32_t>(content.size()));
      bytes += content;
    }
  }
  response.setContentType("application/octet-stream");
  response.setContentLength64(static_cast<Poco::Int64>(bytes.size()));
  response.send() << bytes << std::flush;
}

void PlatformStore::ReadNewest(const Query& query, const std::string& /*body*/,
                               HTTPServerResponse& response) {
  // Small pages, so that readers have to continue.
  constexpr std::size_t kPage = 20;
  Poco::JSON::Object answer;
  {
    const std::lock_guard lock(this->mutex);
    const KeyedPartition& partition = this->topics[Get(query, "topic")];
    Poco::JSON::Array::Ptr items = new Poco::JSON::Array;
    auto record = partition.Newest().upper_bound(Get(query, "after"));
    for (; record != partition.Newest().end() && items->size() < kPage;
         ++record) {
      Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
      item->set("key", record->first);
      item->set("value", ToBase64(record->second.value));
      item->set("offset", 0);
      items->add(item);
    }
    answer.set("items", items);
    answer.set("has_more", record != partition.Newest().end());
    answer.set("end", partition.End());
  }
  std::ostringstream text;
  answer.stringify(text);
  Send(response, 200, text.str());
}

void PlatformStore::FakeFault(const Query& query, const std::string& /*body*/,
                              HTTPServerResponse& response) {
  const std::string kind = Get(query, "kind");
  for (const auto& [name, value] : kFaults) {
    if (name != kind) continue;
    this->SetFault(value);
    return Send(response, 200, "{}");
  }
  Send(response, 400, "{\"error\":\"unknown fault\"}");
}

void PlatformStore::FakeDrop(const Query& /*query*/,
                             const std::string& /*body*/,
                             HTTPServerResponse& response) {
  this->DropHistory();
  Send(response, 200, "{}");
}

}  // namespace bamboorack::fakes
