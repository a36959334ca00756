#ifndef BAMBOORACK_UPSTREAM_OWNERSHIP_CODEC_H_
#define BAMBOORACK_UPSTREAM_OWNERSHIP_CODEC_H_

#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/ids.h"
#include "bamboorack/upstream/ownership_record.h"

namespace bamboorack::upstream {

/// Writes the record as JSON.
std::string EncodeOwnership(const OwnershipRecord& record);

/// Reads what `EncodeOwnership` wrote. The error says what is wrong.
tl::expected<OwnershipRecord, std::string> DecodeOwnership(
    const std::string& text);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_OWNERSHIP_CODEC_H_
