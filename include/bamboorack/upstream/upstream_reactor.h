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
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/poll_reactor.h"
#include "bamboorack/upstream/exchange.h"
#include "bamboorack/upstream/upstream_thread.h"

namespace bamboorack::upstream {

/// The work of the upstream thread. Only `StopBy` may be called from another
/// thread.
class UpstreamReactor {
 public:
  UpstreamReactor(const UpstreamThreadSettings& settings,
                  BoundedRing<ToUpstream>& in,
                  BoundedRing<UpstreamToRouting>& to_routing,
                  BoundedRing<ControlResult>& to_control, Metrics& metrics);

  /// Serves until `StopBy` was called and either nothing is left to do or the
  /// deadline has passed.
  void Run();
  void StopBy(MonotonicTime deadline);

 private:
  using Key = PollReactor::Key;
  using PoolId = std::pair<Endpoint, Lane>;

  /// What a connection does at the moment.
  enum class Phase : std::uint8_t { kConnecting, kIdle, kExchanging };

  struct Connection {
    Connection(const Poco::Net::StreamSocket& socket, PoolId pool_id)
        : http(socket), pool(std::move(pool_id)) {}

    Key key = 0;
    HttpConnection http;
    PoolId pool;
    Phase phase = Phase::kConnecting;
    bool peer_closed = false;
    /// Set in phase `kExchanging`.
    std::unique_ptr<Exchange> exchange;
    /// Bytes written before the exchange began.
    std::uint64_t written_before = 0;
    /// Of the present exchange.
    int interim_answers = 0;
    std::optional<AnswerHead> answer;
    /// Valid while `answer` is set.
    BodyReader body;
    /// How long the upstream keeps the connection without a request; the
    /// setting holds if it did not say.
    std::optional<std::chrono::milliseconds> idle_limit;
  };

  /// The connections of one lane to one upstream.
  struct Pool {
    std::size_t open = 0;
    std::size_t connecting = 0;
    /// Most recently used last.
    std::vector<Key> idle;
    /// Keys of `waiting`, oldest first.
    std::deque<Key> queue;
  };

  /// The handlers of one phase.
  struct PhaseRow {
    Phase phase;
    void (UpstreamReactor::*on_event)(Connection&, const PollReactor::Event&);
    void (UpstreamReactor::*on_expired)(Connection&);
  };
  static const std::array<PhaseRow, 3> kPhases;

  /// Takes one message from the ring.
  struct TakeMessage {
    UpstreamReactor& reactor;
    void operator()(Dispatch dispatch) const;
    void operator()(const CancelDispatch& cancel) const;
    void operator()(ControlCall call) const;
  };

  void TakeMessages();
  bool IsDone(MonotonicTime stop_by);
  void AbandonAll();
  void HandleExpired(Key key);

  void Submit(std::unique_ptr<Exchange> exchange);
  void Cancel(DispatchId id);
  std::size_t LimitOf(Lane lane) const;
  /// Gives waiting exchanges to idle and new connections.
  void Serve(const PoolId& id);
  void Connect(const PoolId& id);
  void OnConnectFailed(const PoolId& id);
  std::unique_ptr<Exchange> TakeWaiting(Pool& pool);
  std::unique_ptr<Exchange> RemoveWaiting(Key key);
  /// Returns false if the peer has closed or sent something meanwhile.
  bool IsUsable(Connection& connection);
  void Begin(Connection& connection, std::unique_ptr<Exchange> exchange);
  /// Waits for input, and for room while output is left.
  void WatchExchange(const Connection& connection);
  void Park(Connection& connection);
  void Close(Connection& connection);

  void OnConnecting(Connection& connection, const PollReactor::Event& event);
  void OnIdle(Connection& connection, const PollReactor::Event& event);
  void OnExchanging(Connection& connection, const PollReactor::Event& event);
  void OnConnectExpired(Connection& connection);
  void OnIdleExpired(Connection& connection);
  void OnExchangeExpired(Connection& connection);

  /// Reads the answer as far as it has come. Returns false if the exchange has
  /// ended; the connection may then be gone.
  bool ReadAnswer(Connection& connection);
  bool TakeAnswerHead(Connection& connection);
  void TakeAnswer(Connection& connection);
  /// Ends the exchange for a body that cannot be completed.
  void FailBody(Connection& connection);
  /// Ends the exchange without an answer and closes the connection.
  void FailExchange(Connection& connection, Failure failure,
                    std::string_view counter);
  void EndWaiting(std::unique_ptr<Exchange> exchange, Failure failure);
  void Forget(const Exchange& exchange);

  const UpstreamThreadSettings settings;
  BoundedRing<ToUpstream>& in;
  Metrics& metrics;
  std::shared_ptr<PollReactor> poll;
  ResultOutbox outbox;
  std::map<PoolId, Pool> pools;
  std::unordered_map<Key, std::unique_ptr<Connection>> connections;
  std::unordered_map<Key, std::unique_ptr<Exchange>> waiting;
  /// Where each dispatch is: a key of `connections` or of `waiting`.
  std::unordered_map<DispatchId, Key> dispatches;
  std::size_t exchanging = 0;
  std::atomic<MonotonicTime::rep> stop_deadline;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_UPSTREAM_REACTOR_H_
