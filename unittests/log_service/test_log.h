#ifndef BAMBOORACK_UNITTESTS_LOG_SERVICE_TEST_LOG_H_
#define BAMBOORACK_UNITTESTS_LOG_SERVICE_TEST_LOG_H_

#include <string>

#include "bamboorack/log_service/record_codec.h"
#include "fakes/log_service/fake_log.h"
#include "log_service/test_records.h"

namespace bamboorack::log_service {

inline Record NamedRecord(const std::string& id) {
  return {RecordId(id), UpstreamDeclaredLost{Ref("e0"), "ann"}};
}

inline Endpoint EndpointOf(const fakes::FakeLog& log) {
  return {"127.0.0.1", log.Port()};
}

inline void AppendTo(fakes::FakeLog& log, const std::string& id) {
  log.Store().Append(EncodeRecord(NamedRecord(id)));
}

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_UNITTESTS_LOG_SERVICE_TEST_LOG_H_
