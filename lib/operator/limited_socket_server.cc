#include "bamboorack/operator/limited_socket_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "bamboorack/core/time.h"

namespace bamboorack::operators {
namespace {

constexpr int kBacklog = 16;

class LimitedStreamSocketImpl : public Poco::Net::StreamSocketImpl {
 public:
  LimitedStreamSocketImpl(poco_socket_t socket,
                          std::shared_ptr<const ConnectionLimits> bounds)
      : StreamSocketImpl(socket), limits(std::move(bounds)) {}

  // POCO's reference count orders the destructor after the last use, but POCO
  // is not instrumented and ThreadSanitizer needs to see the order.
  ~LimitedStreamSocketImpl() override {
    this->uses.load(std::memory_order_acquire);
  }
  LimitedStreamSocketImpl(const LimitedStreamSocketImpl&) = delete;
  LimitedStreamSocketImpl& operator=(const LimitedStreamSocketImpl&) = delete;

  int receiveBytes(void* buffer, int length, int flags) override {
    const UseMark mark{this->uses};
    if (!this->deadline) {
      this->deadline = std::chrono::steady_clock::now() + this->limits->time;
    }
    if (this->received >= this->limits->receive_bytes) {
      this->Refuse(this->limits->on_too_large);
    }
    const std::size_t room = this->limits->receive_bytes - this->received;
    const int most = std::min(length, static_cast<int>(room));
    try {
      this->setReceiveTimeout(this->Remaining());
      const int count = StreamSocketImpl::receiveBytes(buffer, most, flags);
      this->received += static_cast<std::size_t>(std::max(count, 0));
      return count;
    } catch (const Poco::TimeoutException&) {
      this->Refuse(this->limits->on_too_slow);
    }
  }

  int sendBytes(const void* buffer, int length, int flags) override {
    const UseMark mark{this->uses};
    // The refusal was the whole answer; POCO may still try to add its own.
    if (this->is_refused) return length;
    this->setSendTimeout(this->Remaining());
    return StreamSocketImpl::sendBytes(buffer, length, flags);
  }

 private:
  /// Marks the end of a use of the socket.
  struct UseMark {
    std::atomic<std::uint32_t>& uses;

    explicit UseMark(std::atomic<std::uint32_t>& counter) : uses(counter) {}
    ~UseMark() { this->uses.fetch_add(1, std::memory_order_release); }
    UseMark(const UseMark&) = delete;
    UseMark& operator=(const UseMark&) = delete;
  };

  /// Call after the first `receiveBytes`, which always comes before the answer.
  /// Throws `Poco::TimeoutException` if no time remains.
  Poco::Timespan Remaining() const {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
        *this->deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0) throw Poco::TimeoutException("connection time");
    return Poco::Timespan(left.count());
  }

  [[noreturn]] void Refuse(const std::function<std::string()>& make_answer) {
    if (!this->is_refused) {
      const std::string answer = make_answer();
      // One attempt: a sender that does not read gets no more time.
      this->setBlocking(false);
      StreamSocketImpl::sendBytes(answer.data(),
                                  static_cast<int>(answer.size()), 0);
      this->setBlocking(true);
      this->is_refused = true;
    }
    throw Poco::TimeoutException("connection limit");
  }

  std::shared_ptr<const ConnectionLimits> limits;
  /// Set by the first read: the time in the queue does not count, because
  /// slow senders before this one can make it long.
  std::optional<MonotonicTime> deadline;
  std::size_t received = 0;
  bool is_refused = false;
  std::atomic<std::uint32_t> uses{0};
};

class LimitedServerSocketImpl : public Poco::Net::ServerSocketImpl {
 public:
  explicit LimitedServerSocketImpl(const ConnectionLimits& bounds)
      : limits(std::make_shared<const ConnectionLimits>(bounds)) {}

  Poco::Net::SocketImpl* acceptConnection(
      Poco::Net::SocketAddress& client) override {
    const Poco::AutoPtr<Poco::Net::SocketImpl> accepted(
        ServerSocketImpl::acceptConnection(client));
    // POCO does not let go of a descriptor, so the connection gets a copy.
    const int copy = ::dup(accepted->sockfd());
    if (copy < 0) throw Poco::IOException("cannot copy a descriptor");
    return new LimitedStreamSocketImpl(copy, this->limits);
  }

 private:
  std::shared_ptr<const ConnectionLimits> limits;
};

}  // namespace

LimitedServerSocket::LimitedServerSocket(
    const Poco::Net::SocketAddress& address, const ConnectionLimits& limits)
    : ServerSocket(new LimitedServerSocketImpl(limits), true) {
  // POCO's default also sets SO_REUSEPORT, with which a second daemon would
  // take half of the connections instead of failing to start.
  this->bind(address, true, false);
  this->listen(kBacklog);
}

}  // namespace bamboorack::operators
