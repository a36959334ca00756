#include <chrono>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "bamboorack/core/json_fields.h"
#include "bamboorack/operator/status.h"
#include "command.h"
#include "daemon_client.h"
#include "document_options.h"
#include "log_session.h"

namespace bamboorack::tools {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollInterval{100};
constexpr std::chrono::milliseconds kStatusTimeout{1000};

struct PublishOptions {
  DocumentOptions document;
  std::optional<std::uint64_t> base;
  std::vector<std::string> daemons;
  /// The design's target for a change to be in force everywhere.
  std::int64_t wait_ms = 8000;
};

struct DeclareOptions {
  UpstreamRef upstream;
  std::string operator_name;
};

std::string Number(std::uint64_t value) { return std::to_string(value); }

/// Returns whether the daemon's revision is at least `revision`, or why its
/// status cannot be read.
tl::expected<bool, std::string> IsInForce(const Endpoint& daemon,
                                          const PublishedDocument& document,
                                          Revision revision) {
  const auto answer = AskDaemon(daemon, "GET", "/status", kStatusTimeout);
  if (!answer) return tl::make_unexpected(answer.error());
  const auto revisions = operators::ReadRevisions(answer->body);
  return revisions && document.InForce(*revisions) >= revision;
}

/// Asks each daemon until `revision` is in force there.
ExitCode WaitInForce(std::vector<Endpoint> daemons,
                     const PublishedDocument& document, Revision revision,
                     MonotonicTime deadline) {
  std::string last_error;
  while (!daemons.empty()) {
    std::erase_if(daemons, [&](const Endpoint& daemon) {
      const auto in_force = IsInForce(daemon, document, revision);
      if (!in_force) last_error = in_force.error();
      if (!in_force || !*in_force) return false;
      std::cout << "in force on " << ToText(daemon) << '\n';
      return true;
    });
    if (daemons.empty()) break;
    if (steady_clock::now() >= deadline) {
      for (const Endpoint& daemon : daemons) {
        Fail(ExitCode::kRefused, "revision " + Number(revision.value) +
                                     " is not in force on " + ToText(daemon));
      }
      if (!last_error.empty()) Fail(ExitCode::kRefused, last_error);
      return ExitCode::kRefused;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return ExitCode::kOk;
}

/// Prints an outcome that is not `accepted`.
ExitCode ReportFailure(const AppendOutcome& outcome,
                       const std::string& how_to_find_out) {
  if (outcome.verdict) {
    return Fail(ExitCode::kRefused,
                "refused: " + std::string(NameOf(*outcome.verdict)) +
                    " (record at offset " + Number(outcome.offset.value) + ")");
  }
  if (outcome.is_absent) {
    return Fail(ExitCode::kUnknown, "not appended: " + outcome.detail);
  }
  return Fail(ExitCode::kUnknown,
              "outcome unknown: record " + outcome.id.value +
                  " may still take effect: " + outcome.detail + "; " +
                  how_to_find_out);
}

/// Refuses a publication that the fold would refuse now.
ExitCode CheckBefore(const LogSession& session,
                     const PublishedDocument& document, Revision base) {
  const Revision in_force = document.InForce(session.State());
  if (base != in_force) {
    return Fail(ExitCode::kRefused,
                "refused: stale_base: base revision " + Number(base.value) +
                    " is not in force, revision " + Number(in_force.value) +
                    " is; compare with diff and publish again");
  }
  const Verdict verdict = session.Judge(document.MakeBody(base));
  if (verdict == Verdict::kAccepted) return ExitCode::kOk;
  return Fail(ExitCode::kRefused, "refused: " + std::string(NameOf(verdict)) +
                                      ": the document does not fit the "
                                      "configuration in force");
}

ExitCode Append(LogSession& session, const PublishedDocument& document,
                Revision base, Revision& published) {
  const AppendOutcome outcome = session.Append(
      document.MakeBody(base), steady_clock::now() + kLogTimeout);
  if (outcome.verdict == Verdict::kAccepted) {
    published = Revision(outcome.offset.value);
    std::cout << "accepted: revision " << published << '\n';
    return ExitCode::kOk;
  }
  if (outcome.verdict == Verdict::kStaleBase) {
    return CheckBefore(session, document, base);
  }
  return ReportFailure(outcome,
                       "to find out, run diff with the same file: no "
                       "difference means that it is in force; publishing "
                       "again with --base " +
                           Number(base.value) + " is safe");
}

ExitCode Publish(const CommandContext& context, const PublishOptions& options) {
  if (!context.log) return Fail(ExitCode::kWrongInput, kLogIsMissing);
  std::vector<Endpoint> daemons;
  for (const std::string& text : options.daemons) {
    const auto endpoint = EndpointFromText(text);
    if (!endpoint) {
      return Fail(ExitCode::kWrongInput,
                  "\"" + text + "\" is not an IP address and port");
    }
    daemons.push_back(*endpoint);
  }
  const auto document = LoadDocument(options.document);
  if (!document) return ExitCode::kWrongInput;
  LogSession session(*context.log);
  const auto read = session.ReadToHead(steady_clock::now() + kLogTimeout);
  if (!read) return Fail(ExitCode::kUnknown, read.error());
  const Revision base = options.base ? Revision(*options.base)
                                     : document->InForce(session.State());
  Revision published;
  ExitCode result = CheckBefore(session, *document, base);
  if (result != ExitCode::kOk) return result;
  result = Append(session, *document, base, published);
  if (result != ExitCode::kOk) return result;
  const std::chrono::milliseconds wait(options.wait_ms);
  return WaitInForce(std::move(daemons), *document, published,
                     steady_clock::now() + wait);
}

ExitCode DeclareLost(const CommandContext& context,
                     const DeclareOptions& options) {
  if (!context.log) return Fail(ExitCode::kWrongInput, kLogIsMissing);
  LogSession session(*context.log);
  const auto read = session.ReadToHead(steady_clock::now() + kLogTimeout);
  if (!read) return Fail(ExitCode::kUnknown, read.error());
  const UpstreamDeclaredLost body{options.upstream, options.operator_name};
  const Verdict verdict = session.Judge(body);
  if (verdict != Verdict::kAccepted) {
    return Fail(ExitCode::kRefused,
                "refused: " + std::string(NameOf(verdict)) + ": upstream " +
                    options.upstream.id.value + " instance " +
                    options.upstream.instance.value);
  }
  const AppendOutcome outcome =
      session.Append(body, steady_clock::now() + kLogTimeout);
  if (outcome.verdict != Verdict::kAccepted) {
    return ReportFailure(outcome, "declaring the same instance again is safe");
  }
  std::cout << "accepted: record at offset " << outcome.offset << '\n';
  return ExitCode::kOk;
}

}  // namespace

void AddPublishCommands(CLI::App& app, CommandContext& context) {
  CLI::App* publish = app.add_subcommand(
      "publish", "Publishes an inventory or rules and waits for the daemons");
  auto options = std::make_shared<PublishOptions>();
  AddDocumentOptions(*publish, options->document);
  publish->add_option("--base", options->base,
                      "the revision that the document was prepared against; "
                      "default: the one in force");
  publish->add_option("--daemons", options->daemons,
                      "operator endpoints of daemons to wait for");
  publish
      ->add_option("--wait-ms", options->wait_ms,
                   "how long to wait for the daemons")
      ->check(CLI::Range(0, 600'000))
      ->capture_default_str();
  publish->callback(
      [&context, options] { context.exit_code = Publish(context, *options); });

  CLI::App* declare = app.add_subcommand(
      "declare-lost", "Declares an upstream instance lost for good");
  auto lost = std::make_shared<DeclareOptions>();
  declare->add_option("UPSTREAM", lost->upstream.id.value, "the upstream's id")
      ->required();
  declare
      ->add_option("INSTANCE", lost->upstream.instance.value,
                   "the instance, as `owners` shows it")
      ->required();
  declare
      ->add_option("--operator", lost->operator_name,
                   "who declares it; kept in the log")
      ->required();
  declare->callback(
      [&context, lost] { context.exit_code = DeclareLost(context, *lost); });
}

}  // namespace bamboorack::tools
