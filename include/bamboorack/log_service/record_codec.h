#ifndef BAMBOORACK_LOG_SERVICE_RECORD_CODEC_H_
#define BAMBOORACK_LOG_SERVICE_RECORD_CODEC_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "bamboorack/core/record.h"
#include "bamboorack/log_service/fold.h"

namespace bamboorack::log_service {

/// Writes `record` as one JSON object whose field `kind` names its kind, such
/// as `inventory_published`.
std::string EncodeRecord(const Record& record);

/// Reads what `EncodeRecord` writes. The error says which field is wrong. It
/// never throws.
tl::expected<Record, std::string> DecodeRecord(std::string_view json);

/// Writes `snapshot` as one JSON object. Equal snapshots give equal texts.
std::string EncodeSnapshot(const FoldSnapshot& snapshot);

/// Reads what `EncodeSnapshot` writes. It never throws.
tl::expected<FoldSnapshot, std::string> DecodeSnapshot(std::string_view json);

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_RECORD_CODEC_H_
