#include "bamboorack/log_service/log_protocol_codec.h"

#include <utility>

#include "bamboorack/log_service/json_fields_codec.h"
#include "bamboorack/log_service/record_codec.h"

namespace bamboorack::log_service {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

WallTime TimeField(const Object& in, const std::string& key) {
  return WallTime(std::chrono::milliseconds(
      static_cast<std::chrono::milliseconds::rep>(NumberField(in, key))));
}

RecordsAnswer ReadRecordsAnswer(const Object& in) {
  RecordsAnswer answer;
  answer.first_kept = TaggedField<LogOffset>(in, "first");
  answer.next = TaggedField<LogOffset>(in, "next");
  const Array::Ptr records = ArrayField(in, "records");
  answer.count = records->size();
  LogOffset lowest = answer.first_kept;
  for (unsigned i = 0; i < records->size(); ++i) {
    const Object::Ptr row = ObjectAt(*records, i);
    const auto offset = TaggedField<LogOffset>(*row, "offset");
    if (offset < lowest || offset >= answer.next) {
      throw FieldError("offset " + std::to_string(offset.value) +
                       " is out of order");
    }
    lowest = LogOffset(offset.value + 1);
    auto record = DecodeRecord(TextField(*row, "body"));
    if (!record) {
      answer.unreadable.push_back("record at offset " +
                                  std::to_string(offset.value) + ": " +
                                  record.error());
      continue;
    }
    answer.records.push_back(
        {offset, TimeField(*row, "time_ms"), std::move(*record)});
  }
  return answer;
}

LogOffset ReadAppendAnswer(const Object& in) {
  return TaggedField<LogOffset>(in, "offset");
}

}  // namespace

std::string ReadTarget(LogOffset from, std::size_t max,
                       std::chrono::milliseconds wait) {
  return "/records?from=" + std::to_string(from.value) +
         "&max=" + std::to_string(max) +
         "&wait_ms=" + std::to_string(wait.count());
}

tl::expected<RecordsAnswer, std::string> DecodeRecordsAnswer(
    std::string_view json, LogOffset from) {
  auto answer = ReadGuarded(&ReadRecordsAnswer, json);
  if (!answer) return answer;
  const bool is_before =
      !answer->records.empty() && answer->records.front().offset < from;
  if (answer->next < from || is_before) {
    return tl::make_unexpected("the log went back from offset " +
                               std::to_string(from.value) + " to " +
                               std::to_string(answer->next.value));
  }
  return answer;
}

tl::expected<LogOffset, std::string> DecodeAppendAnswer(std::string_view json) {
  return ReadGuarded(&ReadAppendAnswer, json);
}

}  // namespace bamboorack::log_service
