#include "bamboorack/caller/arrival_times.h"

#include <glog/logging.h>

#include <algorithm>

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

MonotonicTime ArrivalTimes::At(std::size_t position) const {
  CHECK_LT(position, this->known_size);
  std::size_t end = 0;
  const auto found = std::find_if(this->segments.begin(), this->segments.end(),
                                  [&end, position](const Segment& segment) {
                                    end += segment.size;
                                    return position < end;
                                  });
  return found->arrived_at;
}

}  // namespace bamboorack::caller
