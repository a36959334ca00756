#ifndef BAMBOORACK_CORE_CONFIG_CODEC_H_
#define BAMBOORACK_CORE_CONFIG_CODEC_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "bamboorack/core/config.h"

namespace bamboorack {

/// One thing that is wrong in a JSON document.
struct ConfigProblem {
  /// Where it is, such as `services[1].upstreams[0].slots`.
  std::string path;
  /// What is wrong, with the value.
  std::string message;
};

using ConfigProblems = std::vector<ConfigProblem>;

/// Reads an inventory. Checks every field (type, range, unknown names,
/// duplicates, dangling references) and returns all problems at once.
tl::expected<Inventory, ConfigProblems> ParseInventory(std::string_view json);

/// Reads rules, with the same checks.
tl::expected<Rules, ConfigProblems> ParseRules(std::string_view json);

/// Writes a document that `ParseInventory` reads back to an equal value.
std::string ToJson(const Inventory& inventory);

/// Writes a document that `ParseRules` reads back to an equal value.
std::string ToJson(const Rules& rules);

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_CONFIG_CODEC_H_
