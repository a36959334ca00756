#ifndef BAMBOORACK_TOOLS_PLATFORM_SOAK_PROCESS_H_
#define BAMBOORACK_TOOLS_PLATFORM_SOAK_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace bamboorack::soak {

/// A child process whose output goes to a file. Signals go to this process
/// only, by its id.
class Process {
 public:
  Process() = default;
  /// Ends the process at once if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Starts `arguments[0]`; appends its output to `output_path`.
  void Start(const std::vector<std::string>& arguments,
             const std::string& output_path);
  void Signal(int signal) const;
  /// Waits until the process has ended; returns its exit code, or -1 if a
  /// signal ended it.
  int Wait();
  bool IsRunning();

 private:
  pid_t pid = 0;
};

}  // namespace bamboorack::soak

#endif  // BAMBOORACK_TOOLS_PLATFORM_SOAK_PROCESS_H_
