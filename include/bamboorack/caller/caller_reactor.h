#ifndef BAMBOORACK_CALLER_CALLER_REACTOR_H_
#define BAMBOORACK_CALLER_CALLER_REACTOR_H_

#include <Poco/Net/ServerSocket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "bamboorack/caller/caller_thread.h"
#include "bamboorack/caller/messages.h"
#include "bamboorack/caller/request_check.h"
#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/http_body.h"
#include "bamboorack/core/http_connection.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/poll_reactor.h"
#include "bamboorack/core/time.h"

namespace bamboorack::caller {

/// The work of the caller thread. Only `BeginDrain`, `BeginStop` and `StopBy`
/// may be called from another thread.
class CallerReactor {
 public:
  CallerReactor(const CallerThreadSettings& settings,
                BoundedRing<FromCaller>& out, BoundedRing<ToCaller>& in,
                Metrics& metrics);

  /// Binds the listener; throws `Poco::Exception` if it cannot.
  void Listen();
  std::uint16_t Port() const { return this->port; }
  /// Serves until `StopBy` was called and all connections are closed or the
  /// deadline has passed.
  void Run();

  void BeginDrain() { this->drain_begun.store(true); }
  void BeginStop();
  void StopBy(MonotonicTime deadline);

 private:
  using Key = PollReactor::Key;

  /// What a connection does at the moment.
  enum class Phase : std::uint8_t {
    /// No byte of the next request has arrived.
    kIdle,
    kReadingHead,
    kReadingBody,
    /// The request is with the routing thread.
    kServing,
    kWritingAnswer,
    /// The answer is sent and the connection will be closed. Input is
    /// discarded first, because closing with unread input resets the
    /// connection, and a reset can destroy the answer on its way.
    kLingering,
  };

  /// What is to be done after a phase was handled.
  enum class Step : std::uint8_t { kWait, kAgain, kClose };

  struct Connection {
    explicit Connection(const Poco::Net::StreamSocket& socket) : http(socket) {}

    Key key = 0;
    HttpConnection http;
    Phase phase = Phase::kIdle;
    bool peer_closed = false;
    bool keep_alive = true;
    CheckedRequest checked;
    BodyReader body;
    MonotonicTime arrived;
    std::size_t reserved_body = 0;
    /// Set while the request is with the routing thread.
    std::optional<CallerSlot> slot;
  };

  /// The handlers of one phase.
  struct PhaseRow {
    Phase phase;
    Step (CallerReactor::*advance)(Connection&);
    Step (CallerReactor::*expire)(Connection&);
    /// Whether input is read in this phase.
    bool reads;
  };
  static const std::array<PhaseRow, 6> kPhases;

  void Handle(const PollReactor::Event& event);
  void HandleExpired(Key key);
  void Accept();
  void AddConnection(const Poco::Net::StreamSocket& socket);
  void TakeAnswers();
  void Deliver(ToCaller answer);
  void TakeStop();
  void AbandonAll();

  /// Reads and writes what the socket is ready for.
  Step Transfer(Connection& connection, const PollReactor::Event& event);
  /// Handles phases until the connection has to wait, then waits or closes.
  void Drive(Connection& connection, Step step);
  void WatchFor(Connection& connection);
  void Close(Connection& connection);
  std::size_t InputLimit(const Connection& connection) const;

  Step AdvanceIdle(Connection& connection);
  Step AdvanceHead(Connection& connection);
  Step AdvanceBody(Connection& connection);
  Step AdvanceServing(Connection& connection);
  Step AdvanceWriting(Connection& connection);
  Step AdvanceLingering(Connection& connection);
  Step ExpireIdle(Connection& connection);
  Step ExpireHead(Connection& connection);
  Step ExpireBody(Connection& connection);
  Step ExpireServing(Connection& connection);
  Step ExpireWriting(Connection& connection);
  Step ExpireLingering(Connection& connection);

  Step TakeHead(Connection& connection, std::size_t length);
  Step StartBody(Connection& connection);
  Step HandOver(Connection& connection);
  /// Counts what a body without announced length holds; false if the budget
  /// is used up.
  bool ReserveGrowth(Connection& connection);
  /// Refuses before the request is handed over, and counts the reason.
  Step Refuse(Connection& connection, Refusal refusal);
  Step Answer(Connection& connection, const Result& result);
  void ReleaseBody(Connection& connection);
  void SetTimeout(Connection& connection, std::chrono::milliseconds timeout);
  /// The time by which a body has to make progress.
  void SetBodyDeadline(Connection& connection);

  const CallerThreadSettings settings;
  BoundedRing<FromCaller>& out;
  BoundedRing<ToCaller>& in;
  Metrics& metrics;
  std::shared_ptr<PollReactor> poll;
  Poco::Net::ServerSocket listener;
  std::optional<Key> listener_key;
  std::uint16_t port = 0;
  std::unordered_map<Key, std::unique_ptr<Connection>> connections;
  std::unordered_map<std::uint64_t, Key> slots;
  std::uint64_t last_slot = 0;
  /// Distinguishes ids given to requests without one from those of other
  /// daemons and earlier runs.
  std::string id_prefix;
  std::size_t reserved_bodies = 0;
  bool is_stopping = false;
  std::atomic<bool> drain_begun{false};
  std::atomic<bool> stop_begun{false};
  std::atomic<MonotonicTime::rep> stop_deadline;
};

}  // namespace bamboorack::caller

#endif  // BAMBOORACK_CALLER_CALLER_REACTOR_H_
