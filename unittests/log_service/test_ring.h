#ifndef BAMBOORACK_UNITTESTS_LOG_SERVICE_TEST_RING_H_
#define BAMBOORACK_UNITTESTS_LOG_SERVICE_TEST_RING_H_

// A test includes a header with the ring first: the ring includes glog, whose
// CHECK would replace the one of Catch.
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/log_service/messages.h"

namespace bamboorack::log_service {

/// Bounds every wait of a test.
inline constexpr std::chrono::seconds kLimit{10};

/// Pops results of the reader until `wanted` records were read in all. Returns
/// their ids; fewer when the time limit passes.
inline std::vector<std::string> ReadIds(BoundedRing<FromLog>& ring,
                                        std::size_t wanted) {
  std::vector<std::string> ids;
  const MonotonicTime deadline = std::chrono::steady_clock::now() + kLimit;
  while (ids.size() < wanted) {
    const auto item = ring.PopUntil(deadline);
    if (!item) return ids;
    const auto* read = std::get_if<RecordsRead>(&*item);
    if (read == nullptr) continue;
    for (const LogRecord& record : read->records) {
      ids.push_back(record.record.id.value);
    }
  }
  return ids;
}

/// Pops until an item of type `Wanted` arrives.
template <typename Wanted>
std::optional<Wanted> PopA(BoundedRing<FromLog>& ring) {
  const MonotonicTime deadline = std::chrono::steady_clock::now() + kLimit;
  while (auto item = ring.PopUntil(deadline)) {
    if (auto* wanted = std::get_if<Wanted>(&*item)) return std::move(*wanted);
  }
  return std::nullopt;
}

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_UNITTESTS_LOG_SERVICE_TEST_RING_H_
