#ifndef BAMBOORACK_CORE_DUTY_LOOP_H_
#define BAMBOORACK_CORE_DUTY_LOOP_H_

#include <atomic>
#include <functional>
#include <thread>
#include <utility>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/wakeup.h"

namespace bamboorack {

/// Runs the turns of one duty on a thread of its own, which waits between them
/// until it is woken or the next turn is due.
class DutyLoop {
 public:
  /// Does what is due at the given time. Returns when the next turn is due;
  /// a time that has passed asks for it at once.
  using Turn = std::function<MonotonicTime(MonotonicTime)>;

  explicit DutyLoop(Turn function);
  ~DutyLoop();
  DutyLoop(const DutyLoop&) = delete;
  DutyLoop& operator=(const DutyLoop&) = delete;

  void Start();
  /// Ends the present wait, or the next one if a turn runs. Any thread may call
  /// it; wakers of rings do.
  void Notify() { this->wakeup.Notify(); }
  /// Returns when the turn that runs has ended, and no other follows. The
  /// destructor does the same, so an owner declares its loop after the members
  /// that turns use.
  void Stop();

 private:
  void Run();

  const Turn turn;
  Wakeup wakeup;
  std::atomic<bool> is_stopping{false};
  std::thread thread;
};

/// Hands the oldest items of `ring` to `handle`, but not more than fit one turn
/// of a thread that serves several rings. Returns whether there was one.
template <typename T, typename Handle>
bool HandleSome(BoundedRing<T>& ring, Handle handle) {
  constexpr int kItemsPerTurn = 64;
  bool had_item = false;
  for (int i = 0; i < kItemsPerTurn; ++i) {
    auto item = ring.TryPop();
    if (!item) break;
    handle(std::move(*item));
    had_item = true;
  }
  return had_item;
}

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_DUTY_LOOP_H_
