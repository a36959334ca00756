#include "bamboorack/core/memory_budget.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace bamboorack {
namespace {

// Taken as the smaller of the units that are called megabyte.
constexpr std::size_t kBytesInMegabyte = 1'000'000;

struct ReservedBody {
  std::string bytes;
  MemoryReservation reservation;
};

}  // namespace

MemoryLimits ShareMemory(std::size_t bytes) {
  return {bytes / 16, bytes / 8 * 3, bytes / 16, bytes / 4};
}

MemoryBudget::MemoryBudget(const MemoryLimits& all_limits) {
  for (std::size_t i = 0; i < kMemoryUseCount; ++i) {
    this->shares.at(i).limit = all_limits.at(i);
  }
}

bool MemoryBudget::TryAdd(MemoryUse use, std::size_t bytes) {
  Share& share = this->ShareOf(use);
  const std::lock_guard lock(share.mutex);
  if (share.held > share.limit || bytes > share.limit - share.held) {
    share.is_awaited = true;
    return false;
  }
  share.held += bytes;
  share.peak = std::max(share.peak, share.held);
  return true;
}

void MemoryBudget::Add(MemoryUse use, std::size_t bytes) {
  Share& share = this->ShareOf(use);
  const std::lock_guard lock(share.mutex);
  share.held += bytes;
  share.peak = std::max(share.peak, share.held);
}

void MemoryBudget::Release(MemoryUse use, std::size_t bytes) {
  Share& share = this->ShareOf(use);
  {
    const std::lock_guard lock(share.mutex);
    CHECK_GE(share.held, bytes) << "more bytes are released than are held";
    share.held -= bytes;
    if (!std::exchange(share.is_awaited, false)) return;
  }
  if (share.waker) share.waker();
}

void MemoryBudget::SetWaker(MemoryUse use, std::function<void()> waker) {
  this->ShareOf(use).waker = std::move(waker);
}

std::size_t MemoryBudget::Held(MemoryUse use) const {
  const Share& share = this->ShareOf(use);
  const std::lock_guard lock(share.mutex);
  return share.held;
}

std::size_t MemoryBudget::Peak(MemoryUse use) const {
  const Share& share = this->ShareOf(use);
  const std::lock_guard lock(share.mutex);
  return share.peak;
}

std::size_t MemoryBudget::Limit(MemoryUse use) const {
  return this->ShareOf(use).limit;
}

std::shared_ptr<MemoryBudget> MakeMemoryBudget(std::size_t megabytes,
                                               Metrics& metrics) {
  const std::size_t process_bytes =
      megabytes == 0 ? kDefaultProcessMemory : megabytes * kBytesInMegabyte;
  auto budget = std::make_shared<MemoryBudget>(ShareMemory(process_bytes));
  for (const MemoryUse use : kMemoryUses) {
    const std::string prefix = "memory_" + std::string(NameOf(use));
    metrics.AddGauge(prefix + "_bytes", [budget, use] {
      return static_cast<double>(budget->Held(use));
    });
    metrics.AddGauge(prefix + "_peak_bytes", [budget, use] {
      return static_cast<double>(budget->Peak(use));
    });
    metrics.AddGauge(prefix + "_limit_bytes", [budget, use] {
      return static_cast<double>(budget->Limit(use));
    });
  }
  return budget;
}

MemoryReservation& MemoryReservation::operator=(
    MemoryReservation&& other) noexcept {
  MemoryReservation taken(std::move(other));
  this->Swap(taken);
  return *this;
}

bool MemoryReservation::TryResize(std::size_t bytes) {
  if (bytes > this->held) {
    const std::size_t more = bytes - this->held;
    if (this->budget == nullptr || !this->budget->TryAdd(this->use, more)) {
      return false;
    }
    this->held = bytes;
    return true;
  }
  this->Set(bytes);
  return true;
}

void MemoryReservation::Set(std::size_t bytes) {
  const std::size_t before = std::exchange(this->held, bytes);
  if (this->budget == nullptr || before == bytes) return;
  if (before < bytes) {
    this->budget->Add(this->use, bytes - before);
  } else {
    this->budget->Release(this->use, before - bytes);
  }
}

bool MemoryReservation::CanEverHold(std::size_t bytes) const {
  return this->budget != nullptr && bytes <= this->budget->Limit(this->use);
}

void MemoryReservation::Swap(MemoryReservation& other) noexcept {
  std::swap(this->budget, other.budget);
  std::swap(this->use, other.use);
  std::swap(this->held, other.held);
}

Body MakeBody(std::string bytes, MemoryReservation reservation) {
  const auto held = std::make_shared<const ReservedBody>(
      ReservedBody{std::move(bytes), std::move(reservation)});
  return {held, &held->bytes};
}

std::size_t MemoryOf(const std::vector<Header>& headers) {
  std::size_t bytes = headers.capacity() * sizeof(Header);
  for (const Header& header : headers) {
    bytes += header.name.capacity() + header.value.capacity();
  }
  return bytes;
}

}  // namespace bamboorack
