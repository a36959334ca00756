#ifndef BAMBOORACK_UPSTREAM_STATED_LOAD_H_
#define BAMBOORACK_UPSTREAM_STATED_LOAD_H_

#include <cstdint>

namespace bamboorack::upstream {

/// The load that an upstream states in an answer.
struct StatedLoad {
  /// Requests that it runs, from all callers.
  std::uint32_t running = 0;
  /// Requests that wait for one of its slots, from all callers.
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  /// How long work takes on its host now, relative to usual. Changes many times
  /// per second, because other programs share the host. 1 if not stated.
  double slowdown = 1;

  bool operator==(const StatedLoad&) const = default;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_STATED_LOAD_H_
