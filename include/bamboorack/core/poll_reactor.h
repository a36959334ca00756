#ifndef BAMBOORACK_CORE_POLL_REACTOR_H_
#define BAMBOORACK_CORE_POLL_REACTOR_H_

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bamboorack/core/poll_waker.h"
#include "bamboorack/core/time.h"

namespace bamboorack {

/// Lets one thread wait for many sockets, for deadlines and for other threads.
/// Only `Wake` may be called from another thread.
class PollReactor {
 public:
  /// Identifies a socket or a deadline. Never reused, so an event for a socket
  /// that was removed cannot reach a later one.
  using Key = std::uint64_t;

  struct Event {
    Key key = 0;
    bool is_readable = false;
    bool is_writable = false;
    /// The socket has an error or the peer closed both directions.
    bool has_failed = false;
  };

  /// Returns a key that can only have a deadline.
  Key NewKey();
  /// Watches `socket` for `modes`, a sum of `Poco::Net::PollSet::Mode`.
  Key Add(const Poco::Net::Socket& socket, int modes);
  /// Changes what the socket of `key` is watched for. 0 watches for nothing,
  /// but failures are still reported.
  void SetModes(Key key, int modes);
  /// Ends a `Wait` once `deadline` has passed; replaces an earlier deadline of
  /// `key`.
  void SetDeadline(Key key, MonotonicTime deadline);
  void ClearDeadline(Key key);
  /// Forgets the socket and the deadline of `key`. Call before the socket is
  /// closed.
  void Remove(Key key);

  /// Waits until a socket is ready, a deadline passes, `Wake` is called or
  /// `until` is reached.
  std::vector<Event> Wait(MonotonicTime until);

  /// Clears and returns one deadline that is not after `now`, earliest first.
  /// Call after the events of a `Wait` are handled, because these may have set
  /// later deadlines.
  std::optional<Key> PopExpired(MonotonicTime now);

  /// Ends the current or the next `Wait`. Any thread may call it.
  void Wake() { this->waker.Wake(); }

 private:
  struct Watched {
    Poco::Net::Socket socket;
    int modes = 0;
  };

  Poco::Net::PollSet poll_set;
  PollWaker waker{this->poll_set};
  Key last_key = 0;
  std::unordered_map<Key, Watched> watched;
  std::map<Poco::Net::Socket, Key> keys;
  std::set<std::pair<MonotonicTime, Key>> deadlines;
  std::unordered_map<Key, MonotonicTime> deadline_of;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_POLL_REACTOR_H_
