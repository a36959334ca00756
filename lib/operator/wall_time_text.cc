#include "bamboorack/operator/wall_time_text.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <Poco/RegularExpression.h>
#include <Poco/Timestamp.h>

#include <chrono>

namespace bamboorack::operators {

std::string ToRfc3339(WallTime time) {
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(
          time.time_since_epoch());
  return Poco::DateTimeFormatter::format(Poco::Timestamp(microseconds.count()),
                                         "%Y-%m-%dT%H:%M:%S.%iZ");
}

std::optional<WallTime> FromRfc3339(const std::string& text) {
  // POCO's parser fills what is missing and ignores what follows.
  static const Poco::RegularExpression pattern(
      R"(^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{1,6})?(Z|[+-]\d\d:\d\d)$)");
  if (!pattern.match(text)) return std::nullopt;
  Poco::DateTime parsed;
  int offset_seconds = 0;
  if (!Poco::DateTimeParser::tryParse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT,
                                      text, parsed, offset_seconds)) {
    return std::nullopt;
  }
  const std::chrono::microseconds local(parsed.timestamp().epochMicroseconds());
  return WallTime(local - std::chrono::seconds(offset_seconds));
}

}  // namespace bamboorack::operators
