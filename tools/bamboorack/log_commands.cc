#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bamboorack/operator/diff.h"
#include "bamboorack/operator/explain.h"
#include "bamboorack/operator/request_history.h"
#include "bamboorack/operator/wall_time_text.h"
#include "command.h"
#include "document_options.h"
#include "log_session.h"

namespace bamboorack::tools {
namespace {

using operators::Explainer;
using operators::KeyQuestion;

ExitCode Explain(const CommandContext& context, const KeyQuestion& question) {
  if (!context.log) return Fail(ExitCode::kWrongInput, kLogIsMissing);
  Explainer explainer(question);
  LogSession session(*context.log,
                     [&explainer](const LogRecord& record, Verdict verdict,
                                  const ClusterState& after) {
                       explainer.Observe(record, verdict, after);
                     });
  const auto read =
      session.ReadToHead(std::chrono::steady_clock::now() + kLogTimeout);
  if (!read) return Fail(ExitCode::kUnknown, read.error());
  const operators::Explanation answer = explainer.Answer();
  std::cout << (context.json ? ToJson(answer) + "\n" : ToText(answer));
  return answer.is_known ? ExitCode::kOk : ExitCode::kRefused;
}

ExitCode ShowDiff(const CommandContext& context,
                  const DocumentOptions& options) {
  if (!context.log) return Fail(ExitCode::kWrongInput, kLogIsMissing);
  const auto document = LoadDocument(options);
  if (!document) return ExitCode::kWrongInput;
  LogSession session(*context.log);
  const auto read =
      session.ReadToHead(std::chrono::steady_clock::now() + kLogTimeout);
  if (!read) return Fail(ExitCode::kUnknown, read.error());
  const auto entries = document->DiffTo(session.State());
  std::cout << (context.json ? ToJson(entries) + "\n" : ToText(entries));
  return ExitCode::kOk;
}

/// What `explain` was asked for.
struct ExplainOptions {
  KeyQuestion question;
  /// Explains this request instead of a key.
  std::string request;
  /// The service and the key, or the files with logs.
  std::vector<std::string> operands;
};

/// Shows each line of the files to `take`. Returns whether all were read.
bool ReadLines(const std::vector<std::string>& paths,
               const std::function<void(std::string_view)>& take) {
  for (const std::string& path : paths) {
    std::ifstream file(path);
    if (!file) {
      Fail(ExitCode::kWrongInput, "cannot read " + path);
      return false;
    }
    std::string line;
    while (std::getline(file, line)) take(line);
  }
  return true;
}

ExitCode ExplainRequest(const CommandContext& context,
                        const ExplainOptions& options) {
  if (options.operands.empty()) {
    return Fail(ExitCode::kWrongInput,
                "explain --request needs the files with the gateways' logs");
  }
  operators::RequestHistory history(options.request);
  const bool is_read =
      ReadLines(options.operands,
                [&](std::string_view line) { history.FindRequest(line); }) &&
      ReadLines(options.operands,
                [&](std::string_view line) { history.AddContext(line); });
  if (!is_read) return ExitCode::kWrongInput;
  if (history.Skipped() > 0) {
    std::cerr << history.Skipped()
              << " lines name the request and cannot be read\n";
  }
  const operators::RequestExplanation answer = history.Answer();
  std::cout << (context.json ? ToJson(answer) + "\n" : ToText(answer));
  return answer.IsKnown() ? ExitCode::kOk : ExitCode::kRefused;
}

ExitCode RunExplain(const CommandContext& context, ExplainOptions& options) {
  if (!options.request.empty()) return ExplainRequest(context, options);
  if (options.operands.size() != 2) {
    return Fail(ExitCode::kWrongInput,
                "explain needs SERVICE and KEY, or --request ID and log files");
  }
  options.question.service = ServiceName(options.operands[0]);
  options.question.key = options.operands[1];
  return Explain(context, options.question);
}

void AddExplain(CLI::App& app, CommandContext& context) {
  CLI::App* command = app.add_subcommand(
      "explain",
      "Tells from the log who owned a key, and why, or with --request from "
      "the gateways' logs why a request ended as it did");
  auto options = std::make_shared<ExplainOptions>();
  command->add_option("OPERANDS", options->operands,
                      "SERVICE KEY, or the files with the gateways' logs");
  command
      ->add_option("--request", options->request,
                   "the id of a request to explain")
      ->type_name("ID");
  command
      ->add_option_function<std::string>(
          "--at",
          [options](const std::string& text) {
            options->question.at = operators::FromRfc3339(text);
            if (options->question.at) return;
            throw CLI::ValidationError(
                "--at", "\"" + text + "\" is not an RFC 3339 time");
          },
          "the time, such as 2026-12-04T10:00:00Z; default: the newest record")
      ->type_name("TIME");
  command->callback([&context, options] {
    context.exit_code = RunExplain(context, *options);
  });
}

}  // namespace

void AddLogCommands(CLI::App& app, CommandContext& context) {
  AddExplain(app, context);
  CLI::App* diff = app.add_subcommand(
      "diff", "Shows what a document would change if it were published");
  auto options = std::make_shared<DocumentOptions>();
  AddDocumentOptions(*diff, *options);
  diff->callback(
      [&context, options] { context.exit_code = ShowDiff(context, *options); });
}

}  // namespace bamboorack::tools
