#include "bamboorack/caller/caller_codec.h"

#include <Poco/JSON/Object.h>

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "bamboorack/caller/request_check.h"
#include "bamboorack/core/http_text.h"

namespace bamboorack::caller {
namespace {

constexpr std::string_view kOutcomeHeader = "X-Bamboorack-Outcome";
constexpr std::string_view kReasonHeader = "X-Bamboorack-Reason";

bool IsOwnHeader(std::string_view name) {
  return IsSameHeaderName(name, kOutcomeHeader) ||
         IsSameHeaderName(name, kReasonHeader);
}

std::string StartHead(int status, Ending ending) {
  std::string head = StatusLine(status);
  AppendHeader(head, kOutcomeHeader, NameOf(ending));
  return head;
}

HttpBytes Finish(std::string head, int status, Body body,
                 const AnswerForm& form) {
  const std::size_t length = body == nullptr ? 0 : body->size();
  // The length that GET would have is not known for an upstream's answer to
  // HEAD, so none is given.
  if (!HasNoBody(status) && !(form.is_head && length == 0)) {
    AppendHeader(head, "Content-Length", std::to_string(length));
  }
  if (!form.keep_alive) AppendHeader(head, "Connection", "close");
  head.append("\r\n");
  if (form.is_head || HasNoBody(status)) body = nullptr;
  return {std::move(head), std::move(body)};
}

// A detail can quote what a caller sent, which may be long or not be UTF-8.
std::string ToSafeText(std::string text) {
  constexpr std::size_t kMaxDetail = 256;
  if (text.size() > kMaxDetail) text.resize(kMaxDetail);
  std::replace_if(
      text.begin(), text.end(),
      [](char letter) { return letter < ' ' || letter >= '\x7f'; }, '?');
  return text;
}

Body RefusalBody(const Refusal& refusal) {
  Poco::JSON::Object json(Poco::JSON_PRESERVE_KEY_ORDER);
  json.set("outcome", std::string(NameOf(refusal.ending)));
  json.set("reason", std::string(InfoOf(refusal.reason).name));
  json.set("detail", ToSafeText(refusal.detail));
  std::ostringstream text;
  json.stringify(text);
  return std::make_shared<const std::string>(text.str());
}

class NativeProtocol : public CallerProtocol {
 public:
  tl::expected<CheckedRequest, Refusal> Check(
      const RequestHead& head, const RequestLimits& limits,
      MonotonicTime now) const override {
    return CheckRequest(head, limits, now);
  }
  HttpBytes Encode(const Result& result,
                   const AnswerForm& form) const override {
    return EncodeAnswer(result, form);
  }
};

}  // namespace

HttpBytes EncodeAnswer(const Result& result, const AnswerForm& form) {
  if (!result) {
    const Refusal& refusal = result.error();
    const ReasonInfo& info = InfoOf(refusal.reason);
    std::string head = StartHead(info.http_status, refusal.ending);
    AppendHeader(head, kReasonHeader, info.name);
    AppendHeader(head, "Content-Type", "application/json");
    return Finish(std::move(head), info.http_status, RefusalBody(refusal),
                  form);
  }
  std::string head = StartHead(result->status, Ending::kDone);
  for (const Header& header : result->headers) {
    if (IsConnectionHeader(header.name) || IsOwnHeader(header.name)) continue;
    AppendHeader(head, header.name, header.value);
  }
  return Finish(std::move(head), result->status, result->body, form);
}

HttpBytes EncodeContinue() {
  return {"HTTP/1.1 100 Continue\r\n\r\n", nullptr};
}

std::shared_ptr<const CallerProtocol> MakeNativeProtocol() {
  return std::make_shared<const NativeProtocol>();
}

}  // namespace bamboorack::caller
