#ifndef BAMBOORACK_UPSTREAM_CONNECTION_HISTORY_H_
#define BAMBOORACK_UPSTREAM_CONNECTION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "bamboorack/core/ids.h"

namespace bamboorack::upstream {

/// What a connection to an upstream has carried so far. A late second answer
/// can only belong to one of these exchanges, and only its request id tells it
/// apart from the answer that is due.
class ConnectionHistory {
 public:
  /// Requests that one connection carries at most. It bounds the memory of a
  /// connection to 8 KiB, and the search for an id.
  static constexpr std::size_t kMaxRequests = 1'024;

  /// Records an exchange with a request id.
  void Add(const RequestId& id);
  /// Records an exchange without one.
  void AddUnidentified() { this->is_new = false; }

  /// Returns whether the connection has carried nothing yet.
  bool IsNew() const { return this->is_new; }
  /// Returns whether a request with this id was sent on the connection. Rarely
  /// true for another id, as only hashes are kept.
  bool Contains(const RequestId& id) const;
  /// Returns whether the connection must not carry another request.
  bool IsFull() const { return this->hashes.size() >= kMaxRequests; }

 private:
  bool is_new = true;
  std::vector<std::uint64_t> hashes;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_CONNECTION_HISTORY_H_
