#ifndef BAMBOORACK_CALLER_CALLER_REACTOR_H_
#define BAMBOORACK_CALLER_CALLER_REACTOR_H_

#include <Poco/Net/ServerSocket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "bamboorack/caller/arrival_times.h"
#include "bamboorack/caller/caller_thread.h"
#include "bamboorack/caller/messages.h"
#include "bamboorack/caller/request_check.h"
#include "bamboorack/caller/request_pipeline.h"
#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/http_body.h"
#include "bamboorack/core/http_connection.h"
#include "bamboorack/core/memory_budget.h"
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

  /// Bytes of requests sent ahead that are read while they have to wait.
  static constexpr std::size_t kMaxInputAhead = 16'384;

  /// What a connection reads at the moment. Requests that were read whole are
  /// in its pipeline.
  enum class Phase : std::uint8_t {
    /// No byte of the next request has been read.
    kIdle,
    kReadingHead,
    kReadingBody,
    /// The rest of the body stays unread until there is memory for it.
    kAwaitingMemory,
    /// The next request stays unread until there is room for it.
    kPaused,
    /// The last request has been read. What follows is discarded.
    kFinishing,
    /// The last answer is sent and the connection will be closed. Input is
    /// discarded first, because closing with unread input resets the
    /// connection, and a reset can destroy the answer on its way.
    kLingering,
  };

  /// What is to be done after a phase was handled.
  enum class Step : std::uint8_t { kWait, kAgain, kClose };

  struct Connection {
    Connection(const Poco::Net::StreamSocket& socket,
               const PipelineLimits& limits, PipelineUsage& usage)
        : http(socket), pipeline(limits, usage) {}

    Key key = 0;
    HttpConnection http;
    Phase phase = Phase::kIdle;
    bool peer_closed = false;
    ArrivalTimes arrival_times;
    /// The requests that were read whole and are not answered yet.
    RequestPipeline pipeline;

    // The request that is being read.
    bool keep_alive = true;
    CheckedRequest checked;
    BodyReader body;
    MonotonicTime arrived;
    /// The memory of the request.
    MemoryReservation reservation;
    /// What the head takes up, in bytes.
    std::size_t head_bytes = 0;
    /// What the reservation needs to hold in `kAwaitingMemory`.
    std::size_t memory_wanted = 0;
    /// The caller waits for `100 Continue`, which must follow the answers in
    /// front of it.
    bool is_continue_due = false;

    /// When the phase expires, and when a write without progress does.
    std::optional<MonotonicTime> phase_deadline;
    std::optional<MonotonicTime> write_deadline;
    /// The deadline that is set in the reactor.
    std::optional<MonotonicTime> timer;
  };

  /// The handlers of one phase.
  struct PhaseRow {
    Phase phase;
    Step (CallerReactor::*advance)(Connection&);
    Step (CallerReactor::*expire)(Connection&);
    /// Whether input is kept in this phase; otherwise it is discarded.
    bool keeps_input;
  };
  static const std::array<PhaseRow, 7> kPhases;
  static const PhaseRow& RowOf(const Connection& connection);

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
  Step ReadInput(Connection& connection);
  /// Sends answers and handles phases until the connection has to wait, then
  /// waits or closes.
  void Drive(Connection& connection, Step step);
  void WatchFor(Connection& connection);
  void UpdateTimer(Connection& connection);
  void Close(Connection& connection);
  std::size_t InputLimit(const Connection& connection) const;

  Step AdvanceIdle(Connection& connection);
  Step AdvanceHead(Connection& connection);
  Step AdvanceBody(Connection& connection);
  Step AdvanceAwaitingMemory(Connection& connection);
  Step AdvancePaused(Connection& connection);
  Step AdvanceFinishing(Connection& connection);
  Step AdvanceLingering(Connection& connection);
  Step ExpireIdle(Connection& connection);
  Step ExpireHead(Connection& connection);
  Step ExpireBody(Connection& connection);
  Step ExpireAwaitingMemory(Connection& connection);
  Step ExpirePaused(Connection& connection);
  Step ExpireFinishing(Connection& connection);
  Step ExpireLingering(Connection& connection);

  bool MayReadNext(const Connection& connection) const;
  /// Reads no more until there is room for another request.
  Step PauseReading(Connection& connection);
  Step TakeHead(Connection& connection, std::size_t length);
  Step StartBody(Connection& connection);
  /// Adds the request that was read to the pipeline.
  Step FinishRequest(Connection& connection);
  /// Hands a request to the routing thread.
  void PassOn(Connection& connection, CallerExchange& exchange);
  /// Reserves memory for the part of the body that has come. Returns false if
  /// there is not enough.
  bool ReserveBody(Connection& connection);
  /// Leaves the body unread until there is memory, or refuses the request.
  Step AwaitMemory(Connection& connection);
  Step RejectForMemory(Connection& connection);
  /// Goes on with the uploads that wait for memory, in their order, if some was
  /// released.
  void GrantMemory();
  /// Lets the first upload that waits go on if there is memory for it.
  bool GrantFirst();
  /// Gives up the memory of the request that is being read.
  void ReleaseMemory(Connection& connection);
  /// Refuses the request that is being read, and counts the reason.
  Step Refuse(Connection& connection, Refusal refusal);
  Step Reject(Connection& connection, Reason reason, std::string detail);
  /// Adds an exchange for the request that is being read and returns it.
  CallerExchange& AddExchange(Connection& connection);
  /// Reads the next request, or no more if the connection closes after this.
  Step ReadOn(Connection& connection);
  /// Reads no more requests. What is only partly read is dropped.
  void StopReading(Connection& connection);
  void AnswerOverdue(Connection& connection, MonotonicTime now);
  /// Sends the answers that have no other in front of them. Returns false if
  /// the connection is broken.
  bool SendAnswers(Connection& connection);
  void QueueAnswer(Connection& connection, const CallerExchange& exchange);
  bool IsEnding() const { return this->is_stopping || this->drain_begun; }
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
  PipelineUsage pipeline_usage;
  std::unordered_map<Key, std::unique_ptr<Connection>> connections;
  std::unordered_map<std::uint64_t, Key> slots;
  std::uint64_t last_slot = 0;
  /// Distinguishes ids given to requests without one from those of other
  /// daemons and earlier runs.
  std::string id_prefix;
  /// Connections whose uploads wait for memory, first come first served; those
  /// that are read in part already come first.
  std::deque<Key> awaiting_memory;
  /// Set by the threads that release memory. Shared, since these may outlive
  /// this object.
  std::shared_ptr<std::atomic<bool>> memory_released =
      std::make_shared<std::atomic<bool>>(false);
  bool is_stopping = false;
  std::atomic<bool> drain_begun{false};
  std::atomic<bool> stop_begun{false};
  std::atomic<MonotonicTime::rep> stop_deadline;
};

}  // namespace bamboorack::caller

#endif  // BAMBOORACK_CALLER_CALLER_REACTOR_H_
