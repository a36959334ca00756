#include <glog/logging.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "bamboorack/daemon/daemon.h"
#include "bamboorack/operator/settings.h"
#include "common/signals.h"

namespace {

using bamboorack::tools::WaitForSignal;
using std::chrono::steady_clock;

// A planned stop aborts requests, such as slow uploads, after this time.
constexpr std::chrono::seconds kStopTimeout{60};
constexpr std::chrono::milliseconds kPollInterval{50};

int RunDaemon(const bamboorack::operators::Settings& settings,
              const sigset_t& signals) {
  bamboorack::daemon::Daemon daemon(settings);
  if (const auto started = daemon.Start(); !started) {
    std::cerr << started.error() << '\n';
    return 1;
  }
  LOG(INFO) << "event=started daemon=" << settings.daemon_id;
  while (WaitForSignal(signals, kPollInterval) == 0 &&
         !daemon.IsStopRequested()) {
  }
  const auto deadline = steady_clock::now() + kStopTimeout;
  daemon.BeginStop();
  // A second signal ends the wait for requests in flight early.
  while (!daemon.IsStopped() && steady_clock::now() < deadline) {
    if (WaitForSignal(signals, kPollInterval) != 0) break;
  }
  daemon.Stop(deadline);
  LOG(INFO) << "event=stopped daemon=" << settings.daemon_id;
  return 0;
}

}  // namespace

/// Runs one daemon until SIGTERM, SIGINT or an operator's drain command.
/// Exit codes: 0 after a planned stop, 1 if a listener cannot be opened, 2 for
/// invalid usage or settings.
int main(int argc, char** argv) {
  CLI::App app("bamboorack daemon");
  std::string path;
  app.add_option("--settings", path, "JSON file with the daemon's settings")
      ->required()
      ->check(CLI::ExistingFile);
  app.set_version_flag("--version", BAMBOORACK_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);

  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  const auto settings = bamboorack::operators::ParseSettings(text.str());
  if (!settings) {
    std::cerr << bamboorack::operators::ToText(settings.error());
    return 2;
  }
  const sigset_t signals = bamboorack::tools::BlockSignals({SIGTERM, SIGINT});
  std::signal(SIGPIPE, SIG_IGN);
  return RunDaemon(*settings, signals);
}
