#ifndef BAMBOORACK_PEER_MESSAGES_H_
#define BAMBOORACK_PEER_MESSAGES_H_

#include <map>
#include <variant>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"

namespace bamboorack::peer {

/// The return path of a forwarded request: the connection it came on, and its
/// id there.
struct ReturnPath {
  DaemonId daemon;
  ConnectionGeneration generation;
  ForwardId id;

  auto operator<=>(const ReturnPath&) const = default;
};

/// Sends a request to the authority of its group.
struct SendForward {
  DaemonId to;
  ForwardId id;
  Request request;
};

/// Tells the authority that nobody waits for the answer any more.
struct SendCancel {
  DaemonId to;
  ForwardId id;
};

/// Answers a forwarded request.
struct SendAnswer {
  ReturnPath to;
  Result result;
};

/// Names the daemons to keep connections and heartbeats with.
struct SetPeers {
  std::map<DaemonId, Endpoint> peers;
};

/// Tells `to` what this daemon has read, and that it is alive.
struct SendHeartbeat {
  DaemonId to;
  LogOffset log_position;
};

/// Asks `to` for its state because the log cannot give it.
struct RequestState {
  DaemonId to;
};

/// Answers a `StateRequested`. `body` is an encoded snapshot.
struct SendState {
  DaemonId to;
  LogOffset covers_before;
  Body body;
};

/// To the peer thread.
using ToPeer = std::variant<SendForward, SendCancel, SendAnswer, SetPeers,
                            SendHeartbeat, RequestState, SendState>;

/// A daemon forwarded a request to this one.
struct ForwardArrived {
  ReturnPath from;
  Request request;
};

struct ForwardCancelled {
  ReturnPath from;
};

/// The end of a request that this daemon forwarded. The ending is `kNotRun`
/// only if the frame was never written or the authority said so.
struct ForwardAnswered {
  ForwardId id;
  Result result;
};

/// From the peer thread to the routing thread.
using PeerToRouting =
    std::variant<ForwardArrived, ForwardCancelled, ForwardAnswered>;

/// A heartbeat or its acknowledgement arrived.
struct PeerHeard {
  DaemonId daemon;
  DaemonInstance instance;
  LogOffset log_position;
  MonotonicTime at;
};

struct StateRequested {
  DaemonId from;
};

struct StateReceived {
  DaemonId from;
  LogOffset covers_before;
  Body body;
};

/// From the peer thread to the control thread.
using PeerToControl = std::variant<PeerHeard, StateRequested, StateReceived>;

}  // namespace bamboorack::peer

#endif  // BAMBOORACK_PEER_MESSAGES_H_
