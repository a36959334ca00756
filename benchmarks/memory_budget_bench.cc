#include <chrono>
#include <cstddef>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

#include "bamboorack/core/memory_budget.h"

// Cost of the memory budget for one request: a body and an answer that are
// reserved, kept and released, beside the same bodies without a budget.

namespace bamboorack {
namespace {

using std::chrono::steady_clock;
using Nanoseconds = std::chrono::duration<double, std::nano>;

constexpr int kRequests = 200'000;
constexpr std::size_t kBodySizes[] = {0, 200, 16'384};

Body MakePlainBody(std::size_t size) {
  return std::make_shared<const std::string>(size, 'b');
}

Body MakeReservedBody(const std::shared_ptr<MemoryBudget>& budget,
                      MemoryUse use, std::size_t size) {
  MemoryReservation reservation(budget, use);
  reservation.TryResize(size);
  return MakeBody(std::string(size, 'b'), std::move(reservation));
}

/// Returns the time for each call of `exchange`.
template <typename Exchange>
Nanoseconds TimeOf(Exchange exchange) {
  const auto begin = steady_clock::now();
  for (int i = 0; i < kRequests; ++i) exchange();
  return (steady_clock::now() - begin) / kRequests;
}

void Measure(std::size_t size) {
  Metrics metrics;
  const auto budget = MakeMemoryBudget(390, metrics);
  const Nanoseconds plain = TimeOf([size] {
    const Body request = MakePlainBody(size);
    const Body answer = MakePlainBody(size);
  });
  const Nanoseconds reserved = TimeOf([&budget, size] {
    const Body request = MakeReservedBody(budget, MemoryUse::kRequests, size);
    const Body answer = MakeReservedBody(budget, MemoryUse::kAnswers, size);
  });
  std::cout << std::setw(10) << size << std::fixed << std::setprecision(0)
            << std::setw(12) << plain.count() << std::setw(12)
            << reserved.count() << '\n';
}

}  // namespace
}  // namespace bamboorack

int main() {
  std::cout << "body bytes    plain ns   budget ns\n";
  for (const std::size_t size : bamboorack::kBodySizes) {
    bamboorack::Measure(size);
  }
  return 0;
}
