#ifndef BAMBOORACK_UPSTREAM_UPSTREAM_REACTOR_H_
#define BAMBOORACK_UPSTREAM_UPSTREAM_REACTOR_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/http_connection.h"
#include "bamboorack/core/memory_budget.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/poll_reactor.h"
#include "bamboorack/upstream/connection_history.h"
#include "bamboorack/upstream/exchange.h"
#include "bamboorack/upstream/upstream_thread.h"

namespace bamboorack::upstream {

/// The event loop of the upstream thread. Only `StopBy` may be called from
/// another thread.
class UpstreamReactor {
 public:
  UpstreamReactor(const UpstreamThreadSettings& settings,
                  BoundedRing<ToUpstream>& in,
                  BoundedRing<UpstreamToRouting>& to_routing,
                  BoundedRing<ControlResult>& to_control, Metrics& metrics);

  /// Runs until `StopBy` was called and either no work is left or the deadline
  /// has passed.
  void Run();
  void StopBy(MonotonicTime deadline);

 private:
  using Key = PollReactor::Key;
  using PoolId = std::pair<Endpoint, TrafficClass>;

  /// The state of a connection.
  enum class Phase : std::uint8_t { kConnecting, kIdle, kExchanging };

  struct Connection {
    Connection(const Poco::Net::StreamSocket& socket, PoolId pool_id)
        : http(socket), pool(std::move(pool_id)) {}

    Key key = 0;
    HttpConnection http;
    PoolId pool;
    Phase phase = Phase::kConnecting;
    bool peer_closed = false;
    ConnectionHistory history;
    /// Set in phase `kExchanging`.
    std::unique_ptr<Exchange> exchange;
    /// Whether the exchange is the first on this connection.
    bool is_first_exchange = false;
    /// Bytes written to the connection before the exchange began.
    std::uint64_t bytes_written_before = 0;
    /// Interim (1xx) answers to the current exchange.
    int interim_answers = 0;
    std::optional<AnswerHead> answer;
    /// Valid while `answer` is set.
    BodyReader body;
    /// The memory of the answer.
    MemoryReservation reservation;
    std::size_t head_bytes = 0;
    /// The rest of the answer stays unread until there is memory for it.
    bool is_awaiting_memory = false;
    AnswerMatch answer_match = AnswerMatch::kOther;
    /// How long the upstream keeps an idle connection open, from its last
    /// answer; if unset, the `idle_timeout` setting applies alone.
    std::optional<std::chrono::milliseconds> keep_alive_timeout;
  };

  /// Whether there is memory for the bytes of an answer that have come.
  enum class MemoryGrant : std::uint8_t {
    kGranted,
    /// When other answers have been passed on.
    kLater,
    /// The answer has to be cut.
    kNever,
  };

  /// The connections of one traffic class to one upstream.
  struct Pool {
    std::size_t open = 0;
    std::size_t connecting = 0;
    /// Keys of idle connections, most recently used last.
    std::vector<Key> idle;
    /// Keys of waiting exchanges, oldest first.
    std::deque<Key> queue;
  };

  /// A waiting exchange and an idle connection that may carry it.
  struct Assignment {
    Key exchange = 0;
    Key connection = 0;
  };

  /// The event handlers of one phase.
  struct PhaseHandlers {
    Phase phase;
    void (UpstreamReactor::*on_event)(Connection&, const PollReactor::Event&);
    void (UpstreamReactor::*on_expired)(Connection&);
  };
  static const std::array<PhaseHandlers, 3> kPhaseHandlers;

  /// Handles one message from the input ring.
  struct MessageHandler {
    UpstreamReactor& reactor;
    void operator()(Dispatch dispatch) const;
    void operator()(const CancelDispatch& cancel) const;
    void operator()(ControlCall call) const;
  };

  void HandleMessages();
  bool IsDone(MonotonicTime stop_by);
  void FailAll();
  void HandleDeadline(Key key);

  void Submit(std::unique_ptr<Exchange> exchange);
  void Cancel(DispatchId id);
  std::size_t LimitOf(TrafficClass traffic_class) const;
  /// Starts waiting exchanges on idle connections and opens new connections for
  /// the rest.
  void StartWaiting(const PoolId& id);
  /// Returns the oldest waiting exchange that an idle connection may carry,
  /// with the most recently used such connection.
  std::optional<Assignment> FindAssignment(const Pool& pool) const;
  void Connect(const PoolId& id);
  void OnConnectFailed(const PoolId& id);
  std::unique_ptr<Exchange> TakeWaiting(Pool& pool);
  std::unique_ptr<Exchange> RemoveWaiting(Key key);
  /// Returns false if the peer has closed the connection or sent data while it
  /// was idle.
  bool IsReusable(Connection& connection);
  void StartExchange(Connection& connection,
                     std::unique_ptr<Exchange> exchange);
  /// Polls for input, and also for output while some is pending.
  void WatchExchange(Connection& connection);
  void MakeIdle(Connection& connection);
  void Close(Connection& connection);

  void OnConnecting(Connection& connection, const PollReactor::Event& event);
  void OnIdle(Connection& connection, const PollReactor::Event& event);
  void OnExchanging(Connection& connection, const PollReactor::Event& event);
  void OnConnectExpired(Connection& connection);
  void OnIdleExpired(Connection& connection);
  void OnExchangeExpired(Connection& connection);

  /// Parses the part of the answer that has arrived. Returns false if the
  /// exchange has ended; the connection may then be destroyed.
  bool ReadAnswer(Connection& connection);
  bool ParseAnswerHead(Connection& connection);
  /// Returns false, and fails the exchange, if the answer is not to be taken
  /// for the one that is due.
  bool CheckAnswerMatch(Connection& connection, const AnswerHead& head);
  /// Reserves memory for the part of the body that has come. Cuts other answers
  /// if that is what makes room, see `FindAnswerToCut`.
  MemoryGrant ReserveBody(Connection& connection);
  /// Returns the largest answer whose length is not known, or null if such
  /// answers take up no more than half of the memory for large answers.
  Connection* FindAnswerToCut();
  /// Fails the exchange: its answer takes up too much memory.
  void CutAnswer(Connection& connection);
  /// Goes on with the answers that wait for memory, oldest first, if some was
  /// released.
  void ResumeAnswers();
  /// Reads and parses what has come. `is_broken` says that nothing more can
  /// come. Returns false if the exchange has ended; the connection may then be
  /// destroyed.
  bool ReceiveAnswer(Connection& connection, bool is_broken);
  /// Fails the exchange, and returns false, if its connection has ended.
  bool CheckEnd(Connection& connection, bool has_ended);
  /// Returns the body of the answer with the memory that is reserved for it.
  Body TakeBody(Connection& connection);
  void CompleteExchange(Connection& connection);
  /// Fails the exchange because of an incomplete or malformed body.
  void FailBody(Connection& connection);
  /// Fails the exchange and closes its connection.
  void FailExchange(Connection& connection, Failure failure,
                    std::string_view counter);
  void FailWaiting(std::unique_ptr<Exchange> exchange, Failure failure);
  void Unregister(const Exchange& exchange);

  const UpstreamThreadSettings settings;
  BoundedRing<ToUpstream>& in;
  Metrics& metrics;
  std::shared_ptr<PollReactor> poll;
  ResultOutbox outbox;
  std::map<PoolId, Pool> pools;
  std::unordered_map<Key, std::unique_ptr<Connection>> connections;
  std::unordered_map<Key, std::unique_ptr<Exchange>> waiting;
  /// Maps each dispatch to its key in `connections` or `waiting`.
  std::unordered_map<DispatchId, Key> dispatches;
  /// Connections whose answers wait for memory, oldest first. May name some
  /// that are closed.
  std::vector<Key> awaiting_memory;
  /// Set by the threads that release memory. Shared, since these may outlive
  /// this object.
  std::shared_ptr<std::atomic<bool>> memory_released =
      std::make_shared<std::atomic<bool>>(false);
  std::size_t active_exchanges = 0;
  std::atomic<MonotonicTime::rep> stop_deadline;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_UPSTREAM_REACTOR_H_
