#ifndef BAMBOORACK_CORE_POLL_WAKER_H_
#define BAMBOORACK_CORE_POLL_WAKER_H_

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>

#include <atomic>

namespace bamboorack {

/// Wakes a thread that waits in `PollSet::poll`. POCO 1.11 has no call for
/// that, so a datagram socket on loopback that is connected to itself serves.
class PollWaker {
 public:
  /// Registers with `poll_set`, which must outlive this object.
  explicit PollWaker(Poco::Net::PollSet& poll_set);
  ~PollWaker() = default;
  PollWaker(const PollWaker&) = delete;
  PollWaker& operator=(const PollWaker&) = delete;

  /// Makes the current or the next poll return. Any thread may call it.
  void Wake();
  /// Returns whether `socket` is the waker's; if so, the wake-up is consumed.
  bool Consume(const Poco::Net::Socket& socket);

 private:
  Poco::Net::DatagramSocket socket;
  /// Set while a wake-up is under way, so that a burst sends one datagram.
  std::atomic<bool> is_signalled = false;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_POLL_WAKER_H_
