#include "bamboorack/caller/arrival_times.h"

namespace bamboorack::caller {

void ArrivalTimes::OnReceived(std::size_t input_size, MonotonicTime now) {
  if (input_size <= this->known_size) return;
  this->segments.push_back({input_size - this->known_size, now});
  this->known_size = input_size;
}

void ArrivalTimes::OnTaken(std::size_t input_size) {
  std::size_t taken =
      this->known_size > input_size ? this->known_size - input_size : 0;
  this->known_size = input_size;
  auto first = this->segments.begin();
  while (first != this->segments.end() && taken >= first->size) {
    taken -= first->size;
    ++first;
  }
  if (first != this->segments.end()) first->size -= taken;
  this->segments.erase(this->segments.begin(), first);
}

MonotonicTime ArrivalTimes::At(std::size_t position, MonotonicTime now) const {
  std::size_t end = 0;
  for (const Segment& segment : this->segments) {
    end += segment.size;
    if (position < end) return segment.arrived_at;
  }
  return now;
}

}  // namespace bamboorack::caller
