#ifndef BAMBOORACK_UPSTREAM_OFFERED_LOAD_H_
#define BAMBOORACK_UPSTREAM_OFFERED_LOAD_H_

#include <map>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// The work in progress for one service after another, in slots of an upstream
/// with speed 1.
using WorkByService = std::map<ServiceName, double>;

/// Adds up the work in progress that all daemons report. By Little's law this
/// is the work that is offered to a service, as long as it has room.
class OfferedLoad {
 public:
  /// Replaces the last report of a daemon.
  void SetReport(const DaemonId& daemon, WorkByService work, MonotonicTime now);
  /// Drops reports that are too old, and brings the smoothed values to the time
  /// `now`.
  void Update(MonotonicTime now);
  /// The sum over the reports in use.
  double Current(const ServiceName& service) const;
  /// Follows an increase within a second and a decrease within a minute, so
  /// that what comes back after a lull finds the keys where they were.
  double Smoothed(const ServiceName& service) const;

 private:
  void DropOldReports(MonotonicTime now);

  struct Report {
    WorkByService work;
    MonotonicTime at;
  };

  std::map<DaemonId, Report> reports;
  WorkByService current;
  WorkByService smoothed;
  MonotonicTime updated_at;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_OFFERED_LOAD_H_
