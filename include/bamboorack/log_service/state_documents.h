#ifndef BAMBOORACK_LOG_SERVICE_STATE_DOCUMENTS_H_
#define BAMBOORACK_LOG_SERVICE_STATE_DOCUMENTS_H_

#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/desired_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/upstream_registry.h"

namespace bamboorack::log_service {

/// Reads the documents that others write to the platform's log. The errors say
/// what is wrong; a document with an error names nothing to use.
class StateDocuments {
 public:
  StateDocuments() = default;
  virtual ~StateDocuments() = default;
  StateDocuments(const StateDocuments&) = delete;
  StateDocuments& operator=(const StateDocuments&) = delete;

  /// The key of the desired state in its topic.
  virtual std::string DesiredStateKey() const = 0;
  virtual tl::expected<DesiredState, std::string> ReadDesiredState(
      const std::string& text) const = 0;
  virtual tl::expected<RegisteredUpstream, std::string> ReadUpstream(
      const std::string& key, const std::string& text) const = 0;
  /// Returns the failure domain that a record with this key in the topic of the
  /// desired state orders to evacuate, whatever its value. Returns nothing if
  /// such a record is about something else.
  virtual tl::expected<std::optional<FailureDomain>, std::string>
  ReadEvacuationKey(const std::string& key) const = 0;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_STATE_DOCUMENTS_H_
