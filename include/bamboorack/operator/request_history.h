#ifndef BAMBOORACK_OPERATOR_REQUEST_HISTORY_H_
#define BAMBOORACK_OPERATOR_REQUEST_HISTORY_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "bamboorack/core/time.h"

namespace bamboorack::operators {

/// One line of a gateway's log.
struct LoggedEvent {
  WallTime time;
  /// The daemon that wrote it.
  std::string source;
  std::string event;
  /// The other fields as text.
  std::map<std::string, std::string> fields;

  /// Returns the field's text, or nothing.
  std::string Field(const std::string& name) const;
};

/// What the logs tell of one request.
struct RequestExplanation {
  std::string request;
  /// The lines that name the request, the oldest first.
  std::vector<LoggedEvent> steps;
  /// What changed shortly before its end: leaders, the log's reach, and moves
  /// of the keys of its upstream.
  std::vector<LoggedEvent> context;
  /// Other requests that were lost or retried at the same upstream around its
  /// end, and the daemons that saw it.
  std::size_t others_at_upstream = 0;
  std::size_t daemons_at_upstream = 0;
  std::string cause;

  bool IsKnown() const { return !this->steps.empty(); }
};

/// Finds out from the logs of all gateways why a request ended as it did. All
/// lines are shown twice, in any order: first to `FindRequest`, then to
/// `AddContext`, so that the logs need not fit into memory.
class RequestHistory {
 public:
  explicit RequestHistory(std::string request_id);

  /// Text before the JSON object is skipped, such as a collector's prefix.
  /// Lines that are not events are counted by `Skipped`.
  void FindRequest(std::string_view line);
  void AddContext(std::string_view line);

  RequestExplanation Answer() const;
  std::size_t Skipped() const { return this->skipped; }

 private:
  std::vector<std::string> ContextWords() const;
  bool IsContext(const LoggedEvent& event) const;
  void CountAtUpstream(const LoggedEvent& event);
  /// The step that ended the request, or its newest.
  const LoggedEvent& LastStep() const;

  const std::string request;
  /// In the order of time.
  std::vector<LoggedEvent> steps;
  std::vector<LoggedEvent> context;
  /// A line of the context has one of these. Made by the first line that is
  /// shown after the last step was found.
  std::vector<std::string> context_words;
  std::size_t others = 0;
  std::map<std::string, std::size_t> daemons;
  std::size_t skipped = 0;
};

std::string ToText(const RequestExplanation& explanation);
std::string ToJson(const RequestExplanation& explanation);

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_REQUEST_HISTORY_H_
