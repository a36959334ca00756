#include <glog/logging.h>
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "bamboorack/core/event_log.h"
#include "bamboorack/daemon/gateway.h"
#include "bamboorack/operator/gateway_settings.h"
#include "bamboorack/operator/settings.h"
#include "common/signals.h"
#include "platform/caller_protocol.h"
#include "platform/documents.h"
#include "platform/names.h"
#include "platform/settings.h"
#include "platform/store_log.h"
#include "platform/upstream_protocol.h"

namespace {

using bamboorack::EventKind;
using bamboorack::EventLog;
using bamboorack::MonotonicTime;
using bamboorack::daemon::Gateway;
using bamboorack::daemon::GatewayAdapter;
using bamboorack::operators::GatewaySettings;
using bamboorack::tools::WaitForSignal;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The load balancer removes a daemon after two failed probes, one second apart,
// and sends new connections until then.
constexpr milliseconds kDrainNoticeTime{2'500};
// Reserve between the last answer and the kill of the process.
constexpr milliseconds kExitMargin{600};
constexpr milliseconds kPollInterval{100};
constexpr milliseconds kMaxSignalWait{60'000};
// Blocks of this size, in bytes, go back to the system as soon as they are
// freed. By default the bound rises to that of the largest block freed so far,
// up to 32 MiB, and the memory of freed bodies stays with the process.
constexpr int kReturnedBlock = 131'072;

GatewayAdapter MakeAdapter(const GatewaySettings& settings) {
  using namespace bamboorack::platform;
  return {MakeCallerProtocol(), MakeUpstreamProtocol(), MakeDocuments(),
          MakeStoreLogFactory(settings.log_endpoint), std::string(kReadyPath)};
}

void WaitForStop(const sigset_t& signals, EventLog& log) {
  while (true) {
    const int signal = WaitForSignal(signals, kMaxSignalWait);
    if (signal == SIGHUP) {
      // Settings are read only at startup.
      log.Line(EventKind::kProcess, "settings_kept").Text("cause", "SIGHUP");
      continue;
    }
    if (signal != 0) return;
  }
}

void Stop(Gateway& gateway, const GatewaySettings& settings,
          const sigset_t& signals) {
  const MonotonicTime stop_began = steady_clock::now();
  const MonotonicTime deadline = stop_began + settings.stop_time - kExitMargin;
  const MonotonicTime notice_end =
      stop_began + std::min(kDrainNoticeTime, settings.stop_time / 2);
  gateway.BeginDrain();
  while (steady_clock::now() < notice_end) {
    WaitForSignal(signals, kPollInterval);
  }
  gateway.BeginStop();
  while (!gateway.IsDrained() && steady_clock::now() < deadline) {
    WaitForSignal(signals, kPollInterval);
  }
  gateway.Stop(deadline);
}

int Serve(const GatewaySettings& settings, const sigset_t& signals) {
  EventLog log(settings.daemon_id.value, std::cout);
  Gateway gateway(settings, MakeAdapter(settings), log);
  if (const auto started = gateway.Start(); !started) {
    std::cerr << started.error() << '\n';
    return 1;
  }
  log.Line(EventKind::kProcess, "started").Text("version", BAMBOORACK_VERSION);
  WaitForStop(signals, log);
  log.Line(EventKind::kProcess, "stopping");
  Stop(gateway, settings, signals);
  log.Line(EventKind::kProcess, "stopped");
  return 0;
}

}  // namespace

/// Runs one gateway on the users' platform until SIGTERM or SIGINT. Exit codes:
/// 0 after a planned stop, 1 if a listener cannot be opened, 2 for invalid
/// usage or settings.
int main(int argc, char** argv) {
  CLI::App app("bamboorack gateway for the users' platform");
  std::string settings_path;
  bool check_only = false;
  app.add_option("--settings", settings_path,
                 "file with the gateway's settings")
      ->envname(bamboorack::platform::kSettingsVariable)
      ->required()
      ->check(CLI::ExistingFile);
  app.add_flag("--check", check_only, "check the settings and exit");
  app.set_version_flag("--version", BAMBOORACK_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  mallopt(M_MMAP_THRESHOLD, kReturnedBlock);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);

  std::ifstream file(settings_path);
  std::stringstream text;
  text << file.rdbuf();
  const auto settings = bamboorack::platform::ReadSettings(text.str());
  if (!settings) {
    std::cerr << bamboorack::operators::ToText(settings.error());
    return 2;
  }
  if (check_only) return 0;
  const sigset_t signals =
      bamboorack::tools::BlockSignals({SIGTERM, SIGINT, SIGHUP});
  std::signal(SIGPIPE, SIG_IGN);
  return Serve(*settings, signals);
}
