#include "bamboorack/core/poll_waker.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace bamboorack {

PollWaker::PollWaker(Poco::Net::PollSet& poll_set) {
  this->socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  this->socket.connect(this->socket.address());
  this->socket.setBlocking(false);
  poll_set.add(this->socket, Poco::Net::PollSet::POLL_READ);
}

void PollWaker::Wake() {
  if (this->is_signalled.exchange(true)) return;
  try {
    const char signal = 1;
    this->socket.sendBytes(&signal, 1);
  } catch (const Poco::Exception&) {
    // The datagram is lost; the next call tries again.
    this->is_signalled = false;
  }
}

bool PollWaker::Consume(const Poco::Net::Socket& ready) {
  if (ready != this->socket) return false;
  // Cleared before the read: a wake-up that comes in between sends another
  // datagram, so none is lost.
  this->is_signalled = false;
  try {
    char signal = 0;
    this->socket.receiveBytes(&signal, 1);
  } catch (const Poco::Exception&) {
    return true;
  }
  return true;
}

}  // namespace bamboorack
