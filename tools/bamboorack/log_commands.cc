#include <iostream>
#include <memory>

#include "bamboorack/operator/diff.h"
#include "bamboorack/operator/explain.h"
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

void AddExplain(CLI::App& app, CommandContext& context) {
  CLI::App* command = app.add_subcommand(
      "explain", "Tells from the log who owned a key, and why");
  auto question = std::make_shared<KeyQuestion>();
  command->add_option("SERVICE", question->service.value, "the service")
      ->required();
  command->add_option("KEY", question->key, "the key")->required();
  command
      ->add_option_function<std::string>(
          "--at",
          [question](const std::string& text) {
            question->at = operators::FromRfc3339(text);
            if (question->at) return;
            throw CLI::ValidationError(
                "--at", "\"" + text + "\" is not an RFC 3339 time");
          },
          "the time, such as 2026-12-04T10:00:00Z; default: the newest record")
      ->type_name("TIME");
  command->callback([&context, question] {
    context.exit_code = Explain(context, *question);
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
