#ifndef BAMBOORACK_CALLER_ARRIVAL_TIMES_H_
#define BAMBOORACK_CALLER_ARRIVAL_TIMES_H_

#include <cstddef>
#include <vector>

#include "bamboorack/core/time.h"

namespace bamboorack::caller {

/// Remembers when the unread bytes of a connection arrived.
///
/// Load pattern: a caller sends requests ahead, and some wait in the input
/// until there is room for them. Their deadlines count from their arrival, not
/// from when they are read.
class ArrivalTimes {
 public:
  /// Tells at `now` that the unread input has grown to `input_size` bytes.
  void OnReceived(std::size_t input_size, MonotonicTime now);
  /// Tells that bytes were taken from the front and `input_size` are left.
  void OnTaken(std::size_t input_size);
  /// Returns when the unread byte at `position` arrived. It must have been
  /// received.
  MonotonicTime At(std::size_t position) const;

 private:
  /// Consecutive bytes that were received together.
  struct Segment {
    std::size_t size = 0;
    MonotonicTime arrived_at;
  };

  std::vector<Segment> segments;
  std::size_t known_size = 0;
};

}  // namespace bamboorack::caller

#endif  // BAMBOORACK_CALLER_ARRIVAL_TIMES_H_
