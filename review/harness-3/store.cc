#include "store.h"

#include <Poco/Base64Encoder.h>
#include <Poco/URI.h>

#include <algorithm>
#include <sstream>
#include <thread>

#include "http_stand_in.h"

namespace review {
namespace {

constexpr milliseconds kAnswerTime{4};
constexpr std::size_t kPage = 500;
constexpr const char* kOperatorTopic = "keyed.op";

std::string Get(const std::map<std::string, std::string>& query,
                const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

std::uint64_t Number(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

void AppendBigEndian(std::string& bytes, std::uint64_t number, int size) {
  for (int shift = (size - 1) * 8; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((number >> shift) & 0xFFU));
  }
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

void Store::Start() { this->server = ServeOnLoopback(*this, 200); }

void Store::Stop() {
  if (this->server == nullptr) return;
  {
    const std::lock_guard lock(this->mutex);
    this->is_stopping = true;
  }
  this->changed.notify_all();
  this->server->stopAll(true);
  this->server.reset();
}

bool Store::Write(const std::string& topic, const std::string& key,
                  const std::string& value) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->is_away) return false;
    this->topics[topic].push_back({key, value, Clock::now()});
  }
  this->changed.notify_all();
  return true;
}

std::map<std::string, Store::Record> Store::NewestLocked(
    const std::string& topic) const {
  std::map<std::string, Record> newest;
  const auto found = this->topics.find(topic);
  if (found == this->topics.end()) return newest;
  for (const Record& record : found->second) {
    if (record.value.empty()) {
      newest.erase(record.key);
    } else {
      newest[record.key] = record;
    }
  }
  return newest;
}

std::optional<std::string> Store::Newest(const std::string& topic,
                                         const std::string& key) const {
  const std::lock_guard lock(this->mutex);
  const auto newest = this->NewestLocked(topic);
  const auto found = newest.find(key);
  if (found == newest.end()) return std::nullopt;
  return found->second.value;
}

std::uint64_t Store::End(const std::string& topic) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->topics.find(topic);
  return found == this->topics.end() ? 0 : found->second.size();
}

std::uint64_t Store::Era() const {
  const std::lock_guard lock(this->mutex);
  return this->era;
}

void Store::GoAway() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_away = true;
  }
  this->changed.notify_all();
}

void Store::ComeBackFromCopy(Time copied) {
  {
    const std::lock_guard lock(this->mutex);
    const auto before = this->NewestLocked(kOperatorTopic);
    for (auto& [name, records] : this->topics) {
      std::erase_if(records, [copied](const Record& record) {
        return record.at > copied;
      });
    }
    const auto kept = this->NewestLocked(kOperatorTopic);
    for (const auto& [key, record] : before) {
      const auto found = kept.find(key);
      if (found != kept.end() && found->second.value == record.value) continue;
      this->topics[kOperatorTopic].push_back({key, record.value, Clock::now()});
    }
    ++this->era;
    this->is_away = false;
  }
  this->changed.notify_all();
}

void Store::Handle(Poco::Net::HTTPServerRequest& request,
                   Poco::Net::HTTPServerResponse& response) {
  const Poco::URI uri(request.getURI());
  const std::string body = BodyOf(request);
  std::this_thread::sleep_for(kAnswerTime);
  Query query;
  for (const auto& [name, value] : uri.getQueryParameters()) {
    query[name] = value;
  }
  {
    const std::lock_guard lock(this->mutex);
    response.set("Store-Era", std::to_string(this->era));
    if (this->is_away) return CloseWithoutAnswer(request);
  }
  if (uri.getPath() == "/-/log-append") {
    return this->Append(query, body, response);
  }
  if (uri.getPath() == "/-/log-newest") {
    return this->ReadNewest(query, response);
  }
  if (uri.getPath() == "/-/log-read") {
    if (!this->Read(query, response)) CloseWithoutAnswer(request);
    return;
  }
  Answer(response, 404, "{}");
}

void Store::Append(const Query& query, const std::string& body,
                   Poco::Net::HTTPServerResponse& response) {
  std::ostringstream text;
  int status = 200;
  {
    const std::lock_guard lock(this->mutex);
    auto& records = this->topics[Get(query, "topic")];
    const std::uint64_t end = records.size();
    const std::string as_of = Get(query, "as_of");
    if (!as_of.empty() && Number(as_of) != end) {
      status = 412;
      text << "{\"end\":" << end << "}";
    } else {
      std::size_t at = 0;
      while (at + 4 < body.size()) {
        std::size_t length = 0;
        for (std::size_t i = 0; i < 4; ++i) {
          length = (length << 8U) | static_cast<unsigned char>(body[at + i]);
        }
        const std::string content = body.substr(at + 4, length);
        at += 4 + content.size();
        const auto key_length = static_cast<unsigned char>(content.at(0));
        records.push_back({content.substr(1, key_length),
                           content.substr(1U + key_length), Clock::now()});
      }
      text << "{\"offset\":" << end << ",\"end\":" << records.size() << "}";
    }
  }
  this->changed.notify_all();
  Answer(response, status, text.str());
}

bool Store::Read(const Query& query, Poco::Net::HTTPServerResponse& response) {
  const std::uint64_t from = Number(Get(query, "from"));
  std::string bytes;
  {
    std::unique_lock lock(this->mutex);
    const auto& records = this->topics[Get(query, "topic")];
    if (from > records.size()) {
      lock.unlock();
      Answer(response, 410, "{\"first\":0}");
      return true;
    }
    const std::uint64_t era_before = this->era;
    this->changed.wait_for(
        lock, milliseconds(Number(Get(query, "wait_ms"))), [&] {
          return this->is_stopping || this->is_away ||
                 this->era != era_before || records.size() > from;
        });
    if (this->is_away || this->era != era_before) return false;
    AppendBigEndian(bytes, records.size(), 8);
    AppendBigEndian(bytes, 0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
      std::string content(1, static_cast<char>(records[i].key.size()));
      content += records[i].key + records[i].value;
      AppendBigEndian(bytes, content.size(), 4);
      bytes += content;
    }
  }
  Answer(response, 200, bytes, "application/octet-stream");
  return true;
}

void Store::ReadNewest(const Query& query,
                       Poco::Net::HTTPServerResponse& response) {
  std::ostringstream text;
  {
    const std::lock_guard lock(this->mutex);
    const std::string topic = Get(query, "topic");
    const auto newest = this->NewestLocked(topic);
    text << "{\"items\":[";
    std::size_t count = 0;
    auto record = newest.upper_bound(Get(query, "after"));
    for (; record != newest.end() && count < kPage; ++record, ++count) {
      text << (count == 0 ? "" : ",") << "{\"key\":\"" << record->first
           << "\",\"value\":\"" << ToBase64(record->second.value)
           << "\",\"offset\":0}";
    }
    text << "],\"has_more\":" << (record != newest.end() ? "true" : "false")
         << ",\"end\":" << this->topics[topic].size() << "}";
  }
  Answer(response, 200, text.str());
}

}  // namespace review
