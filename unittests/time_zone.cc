#include <cstdlib>
#include <ctime>

namespace {

/// Fixes the time zone before any thread starts. Without TZ, glibc replaces
/// its copy of the zone at each line that glog writes. It does so under a lock
/// of its own, which the thread sanitizer cannot see.
const bool kIsTimeZoneFixed = [] {
  const bool is_set = setenv("TZ", "UTC", 0) == 0;
  tzset();
  return is_set;
}();

}  // namespace
