#ifndef BAMBOORACK_PEER_FORWARD_TABLE_H_
#define BAMBOORACK_PEER_FORWARD_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"
#include "bamboorack/peer/messages.h"

namespace bamboorack::peer {

/// Matches answers of other daemons to the requests that this daemon forwarded
/// to them, by id and connection generation.
class ForwardTable {
 public:
  /// Adds a forward whose first byte is about to be written on connection
  /// `generation` to `daemon`. From here on its ending is unknown until the
  /// answer comes. Returns false if the id is in use.
  bool Add(ForwardId id, const DaemonId& daemon,
           ConnectionGeneration generation, MonotonicTime deadline);

  /// Takes the head of an answer whose body has `body_size` bytes. Returns
  /// false if no forward with this id is open on this connection, or it has a
  /// head already: the connection must be closed.
  bool OnAnswerHead(const DaemonId& daemon, ConnectionGeneration generation,
                    ForwardId id, Answer head, std::size_t body_size);

  /// Takes the next bytes of a body. Returns false as `OnAnswerHead` does, and
  /// if the body would become longer than its head said.
  bool OnAnswerBody(const DaemonId& daemon, ConnectionGeneration generation,
                    ForwardId id, std::string_view bytes);

  /// Takes a refusal in place of an answer. Returns false as above.
  bool OnRefusal(const DaemonId& daemon, ConnectionGeneration generation,
                 ForwardId id, Refusal refusal);

  /// Ends every forward on a connection that was lost: unknown, `peer_lost`.
  void OnConnectionLost(const DaemonId& daemon,
                        ConnectionGeneration generation);

  /// Ends every forward whose deadline has passed: unknown, `deadline_passed`.
  /// A late answer is then ignored without closing the connection.
  void Tick(MonotonicTime now);

  /// Returns the forwards that ended since the last call.
  std::vector<ForwardAnswered> TakeEnded();

  std::size_t OpenCount() const { return this->open.size(); }

 private:
  struct Entry {
    DaemonId daemon;
    ConnectionGeneration generation;
    MonotonicTime deadline;
    std::optional<Answer> head;
    std::size_t body_size = 0;
    std::string body;
    /// The deadline has passed; the rest of the answer is discarded.
    bool is_abandoned = false;
  };

  Entry* Find(const DaemonId& daemon, ConnectionGeneration generation,
              ForwardId id);
  void End(ForwardId id, Result result);
  void FinishIfWhole(ForwardId id, Entry& entry);

  std::map<ForwardId, Entry> open;
  std::vector<ForwardAnswered> ended;
};

}  // namespace bamboorack::peer

#endif  // BAMBOORACK_PEER_FORWARD_TABLE_H_
