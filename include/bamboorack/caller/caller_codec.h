#ifndef BAMBOORACK_CALLER_CALLER_CODEC_H_
#define BAMBOORACK_CALLER_CALLER_CODEC_H_

#include "bamboorack/caller/caller_protocol.h"
#include "bamboorack/core/http_text.h"
#include "bamboorack/core/request.h"

namespace bamboorack::caller {

/// Encodes the answer to a caller. The outcome is `X-Bamboorack-Outcome`; a
/// refusal has a JSON body `{"outcome","reason","detail"}`.
HttpBytes EncodeAnswer(const Result& result, const AnswerForm& form);

/// Returns the interim answer to `Expect: 100-continue`.
HttpBytes EncodeContinue();

}  // namespace bamboorack::caller

#endif  // BAMBOORACK_CALLER_CALLER_CODEC_H_
