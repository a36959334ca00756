#include "bamboorack/log_service/log_client.h"

#include <glog/logging.h>

#include <utility>

#include "bamboorack/log_service/log_protocol_codec.h"
#include "bamboorack/log_service/record_codec.h"

namespace bamboorack::log_service {
namespace {

constexpr std::chrono::milliseconds kConnectLimit{300};
constexpr int kOk = 200;

std::string StatusText(int status) {
  return "the log answered with status " + std::to_string(status);
}

/// A client error says that the record is at fault; any other status is the
/// log's own trouble, which may strike after the record took effect.
AppendFault FaultOfStatus(int status) {
  return status >= 400 && status < 500 ? AppendFault::kRefused
                                       : AppendFault::kUnknown;
}

}  // namespace

LogClient::LogClient(const Endpoint& log, Metrics& counters)
    : http(log, kConnectLimit), metrics(counters) {}

tl::expected<LogOffset, AppendFailure> LogClient::Append(
    const Record& record, MonotonicTime deadline, const std::stop_token& stop) {
  const auto reply = this->http.Call({"POST", "/append", EncodeRecord(record)},
                                     deadline, stop);
  if (!reply) {
    return tl::make_unexpected(AppendFailure{reply.error().may_have_run
                                                 ? AppendFault::kUnknown
                                                 : AppendFault::kNotAppended,
                                             reply.error().detail});
  }
  if (reply->status != kOk) {
    return tl::make_unexpected(
        AppendFailure{FaultOfStatus(reply->status), StatusText(reply->status)});
  }
  auto offset = DecodeAppendAnswer(reply->body);
  if (offset) return *offset;
  return tl::make_unexpected(
      AppendFailure{AppendFault::kUnknown, std::move(offset.error())});
}

tl::expected<RecordsRead, std::string> LogClient::Read(
    const ReadOptions& options, MonotonicTime deadline,
    const std::stop_token& stop) {
  const MonotonicTime sent_at = std::chrono::steady_clock::now();
  const auto reply = this->http.Call(
      {"GET", ReadTarget(options.from, options.max_records, options.wait), {}},
      deadline, stop);
  if (!reply) return tl::make_unexpected(reply.error().detail);
  if (reply->status != kOk) {
    return tl::make_unexpected(StatusText(reply->status));
  }
  auto answer = DecodeRecordsAnswer(reply->body, options.from);
  if (!answer) return tl::make_unexpected(std::move(answer.error()));
  for (const std::string& problem : answer->unreadable) {
    this->metrics.Count("log_records_malformed");
    LOG(WARNING) << "event=log_record_skipped detail=\"" << problem << '"';
  }
  // An answer with fewer records than asked for ends at the head.
  return RecordsRead{answer->first_kept, answer->next,
                     answer->count < options.max_records, sent_at,
                     std::move(answer->records)};
}

}  // namespace bamboorack::log_service
