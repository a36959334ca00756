#ifndef BAMBOORACK_OPERATOR_MESSAGES_H_
#define BAMBOORACK_OPERATOR_MESSAGES_H_

#include <variant>

namespace bamboorack::operators {

/// An operator asks the daemon to hand over its groups and stop gracefully.
struct DrainCommand {};

/// From the operator listener to the control thread.
using OperatorCommand = std::variant<DrainCommand>;

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_MESSAGES_H_
