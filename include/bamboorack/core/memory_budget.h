#ifndef BAMBOORACK_CORE_MEMORY_BUDGET_H_
#define BAMBOORACK_CORE_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bamboorack/core/metrics.h"
#include "bamboorack/core/request.h"

namespace bamboorack {

/// What bytes from outside the process are held for. Each use has a share of
/// its own, so that none can take the room of another: uploads cannot keep out
/// small requests, and requests cannot keep out the answers to those before
/// them.
enum class MemoryUse : std::uint8_t {
  /// Heads of requests and bodies of up to `kSmallBody` bytes.
  kRequests,
  /// Larger bodies of requests, and those without an announced length.
  kUploads,
  /// Answers with an announced length of up to `kSmallBody` bytes.
  kAnswers,
  /// All other answers.
  kLargeAnswers,
};

inline constexpr std::size_t kMemoryUseCount = 4;
inline constexpr std::array<MemoryUse, kMemoryUseCount> kMemoryUses = {
    MemoryUse::kRequests, MemoryUse::kUploads, MemoryUse::kAnswers,
    MemoryUse::kLargeAnswers};
/// Bytes.
inline constexpr std::size_t kSmallBody = 65'536;

constexpr std::string_view NameOf(MemoryUse use) {
  constexpr std::array<std::string_view, kMemoryUseCount> kNames = {
      "requests", "uploads", "answers", "large_answers"};
  return kNames.at(static_cast<std::size_t>(use));
}

/// Bytes for each use, indexed by `MemoryUse`.
using MemoryLimits = std::array<std::size_t, kMemoryUseCount>;

/// Returns the limits for a process that may use `bytes` of memory in all. The
/// part that no use gets is for the process itself and for the buffers of its
/// sockets.
MemoryLimits ShareMemory(std::size_t bytes);

/// For processes that are not told how much memory they may use, in bytes.
inline constexpr std::size_t kDefaultProcessMemory = std::size_t{4} << 30U;

/// Bounds the bytes that a process holds for its peers. Any thread may use it.
class MemoryBudget {
 public:
  explicit MemoryBudget(const MemoryLimits& all_limits);
  ~MemoryBudget() = default;
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Adds `bytes` unless the use then holds more than its limit. After a
  /// failure the waker of the use is called when bytes are released.
  bool TryAdd(MemoryUse use, std::size_t bytes);
  /// Adds `bytes` even beyond the limit, for what is held already.
  void Add(MemoryUse use, std::size_t bytes);
  void Release(MemoryUse use, std::size_t bytes);

  /// Sets what tells the thread that waits for this use. Call it before other
  /// threads use the budget. `waker` may be called by any thread.
  void SetWaker(MemoryUse use, std::function<void()> waker);

  std::size_t Held(MemoryUse use) const;
  /// The most that was held at one time.
  std::size_t Peak(MemoryUse use) const;
  std::size_t Limit(MemoryUse use) const;

 private:
  struct Share {
    mutable std::mutex mutex;
    std::size_t limit = 0;
    std::size_t held = 0;
    std::size_t peak = 0;
    bool is_awaited = false;
    std::function<void()> waker;
  };

  Share& ShareOf(MemoryUse use) {
    return this->shares.at(static_cast<std::size_t>(use));
  }
  const Share& ShareOf(MemoryUse use) const {
    return this->shares.at(static_cast<std::size_t>(use));
  }

  std::array<Share, kMemoryUseCount> shares;
};

/// Returns the budget of a process that may use `megabytes` of memory in all;
/// for 0 it is `kDefaultProcessMemory`. `metrics` shows for each use what is
/// held, the most that was held, and the limit.
std::shared_ptr<MemoryBudget> MakeMemoryBudget(std::size_t megabytes,
                                               Metrics& metrics);

/// A part of a budget, released at the end of this object's life.
class MemoryReservation {
 public:
  /// Holds nothing, and can hold nothing.
  MemoryReservation() = default;
  MemoryReservation(std::shared_ptr<MemoryBudget> shared_budget,
                    MemoryUse memory_use)
      : budget(std::move(shared_budget)), use(memory_use) {}
  MemoryReservation(MemoryReservation&& other) noexcept { this->Swap(other); }
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  ~MemoryReservation() { this->Set(0); }

  /// Holds `bytes` from now on. Returns false, and changes nothing, if more
  /// than now would be held and the limit does not allow it.
  bool TryResize(std::size_t bytes);
  /// Holds `bytes` from now on, whatever the limit.
  void Set(std::size_t bytes);
  std::size_t Bytes() const { return this->held; }
  MemoryUse Use() const { return this->use; }
  /// Whether `bytes` are within the limit when nothing else is held.
  bool CanEverHold(std::size_t bytes) const;

 private:
  void Swap(MemoryReservation& other) noexcept;

  std::shared_ptr<MemoryBudget> budget;
  MemoryUse use = MemoryUse::kRequests;
  std::size_t held = 0;
};

/// Returns a body that keeps `reservation` as long as anybody has the body.
Body MakeBody(std::string bytes, MemoryReservation reservation);

/// Returns the bytes that `headers` take up.
std::size_t MemoryOf(const std::vector<Header>& headers);

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_MEMORY_BUDGET_H_
