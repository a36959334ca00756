#include "bamboorack/upstream/connection_history.h"

#include <algorithm>

#include "bamboorack/core/hash.h"

namespace bamboorack::upstream {

void ConnectionHistory::Add(const RequestId& id) {
  this->is_new = false;
  this->hashes.push_back(HashText(id.value));
}

bool ConnectionHistory::Contains(const RequestId& id) const {
  const std::uint64_t hash = HashText(id.value);
  return std::find(this->hashes.begin(), this->hashes.end(), hash) !=
         this->hashes.end();
}

}  // namespace bamboorack::upstream
