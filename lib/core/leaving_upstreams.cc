#include "bamboorack/core/leaving_upstreams.h"

namespace bamboorack {

bool LeavingUpstreams::Add(const UpstreamRun& run) {
  if (!this->runs.insert(run).second) return false;
  this->order.push_back(run);
  if (this->order.size() > kCapacity) {
    this->runs.erase(this->order.front());
    this->order.pop_front();
  }
  return true;
}

}  // namespace bamboorack
