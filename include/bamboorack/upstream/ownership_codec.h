#ifndef BAMBOORACK_UPSTREAM_OWNERSHIP_CODEC_H_
#define BAMBOORACK_UPSTREAM_OWNERSHIP_CODEC_H_

#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/ids.h"
#include "bamboorack/upstream/ownership_record.h"

namespace bamboorack::upstream {

/// Encodes the record as JSON.
std::string EncodeOwnership(const OwnershipRecord& record);

/// Decodes the output of `EncodeOwnership`. The error describes the first
/// malformed part.
tl::expected<OwnershipRecord, std::string> DecodeOwnership(
    const std::string& text);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_OWNERSHIP_CODEC_H_
