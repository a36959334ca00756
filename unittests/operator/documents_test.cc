#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "bamboorack/core/reason.h"
#include "bamboorack/core/record.h"

namespace bamboorack::operators {
namespace {

SCENARIO("an operator meets a refusal that the operations page does not name") {
  std::ifstream file(std::string(BAMBOORACK_DOCS) + "/OPERATIONS.md");
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  for (const ReasonInfo& info : kReasons) {
    const std::string row = "| `" + std::string(info.name) + "` | " +
                            std::to_string(info.http_status) + " | ";
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
  }
  for (const std::string_view verdict : kVerdictNames) {
    INFO(verdict);
    CHECK(page.find("| `" + std::string(verdict) + "` | ") !=
          std::string::npos);
  }
}

}  // namespace
}  // namespace bamboorack::operators
