#include "fakes/platform_upstream/malformed_answer.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace bamboorack::fakes {
namespace {

using Fault = void (*)(std::string& answer);

constexpr std::string_view kLength = "Content-Length";
constexpr std::string_view kLineEnd = "\r\n";

/// Inserts a header line behind the status line.
void InsertLine(std::string& answer, std::string_view line) {
  const std::size_t position = answer.find(kLineEnd) + kLineEnd.size();
  answer.insert(position, std::string(line).append(kLineEnd));
}

void PutControlInName(std::string& answer) {
  InsertLine(answer, "X-\x01Trace: a");
}

void PutBlankInName(std::string& answer) { InsertLine(answer, "X Trace: a"); }

void BreakLength(std::string& answer) {
  answer.insert(answer.find(kLength) + kLength.size(), 1, '\x01');
  const std::size_t body = answer.find("\r\n\r\n") + 4;
  answer.resize(body + (answer.size() - body) / 2);
}

void ClearStatus(std::string& answer) {
  constexpr std::string_view kOk = " 200 ";
  answer.replace(answer.find(kOk), kOk.size(), " 000 ");
}

constexpr std::array<Fault, 4> kFaults = {&PutControlInName, &PutBlankInName,
                                          &BreakLength, &ClearStatus};

}  // namespace

std::string Malform(std::string answer, std::uint64_t number) {
  kFaults.at(number % kFaults.size())(answer);
  return answer;
}

}  // namespace bamboorack::fakes
