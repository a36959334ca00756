#include "bamboorack/core/event_log.h"

#include <cmath>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <utility>

namespace bamboorack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::size_t kRingCapacity = 4'096;
// Lines each second, indexed by kind. Answered requests are many and alike;
// those that had trouble explain an incident.
constexpr std::array<std::uint32_t, kEventKindCount> kBudgets = {50,  100, 200,
                                                                 200, 200, 20};
// Lines are collected for this time and written at once, so that a line does
// not cost a wake-up of its own.
constexpr milliseconds kWritePause{200};
constexpr std::string_view kHex = "0123456789abcdef";

void AppendEscaped(std::string& line, std::string_view text) {
  for (const char letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      line.push_back('\\');
      line.push_back(letter);
    } else if (byte < 0x20 || byte >= 0x7f) {
      line.append("\\u00");
      line.push_back(kHex[byte >> 4U]);
      line.push_back(kHex[byte & 0xFU]);
    } else {
      line.push_back(letter);
    }
  }
}

}  // namespace

EventLine::EventLine(EventLog* event_log, std::string_view event)
    : log(event_log) {
  if (this->log == nullptr) return;
  const auto wall = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  this->line = "{\"time_ms\":" + std::to_string(wall.count());
  this->Text("source", this->log->source);
  this->Text("event", event);
}

EventLine::~EventLine() {
  if (this->log == nullptr) return;
  this->line.append("}\n");
  this->log->Push(std::move(this->line));
}

void EventLine::Name(std::string_view name) {
  this->line.append(",\"").append(name).append("\":");
}

EventLine& EventLine::Text(std::string_view name, std::string_view value) {
  if (this->log == nullptr) return *this;
  this->Name(name);
  this->line.push_back('"');
  AppendEscaped(this->line, value);
  this->line.push_back('"');
  return *this;
}

EventLine& EventLine::Count(std::string_view name, std::uint64_t value) {
  if (this->log == nullptr) return *this;
  this->Name(name);
  this->line.append(std::to_string(value));
  return *this;
}

EventLine& EventLine::Real(std::string_view name, double value) {
  if (this->log == nullptr) return *this;
  this->Name(name);
  std::ostringstream text;
  text << std::setprecision(4) << (std::isfinite(value) ? value : -1.0);
  this->line.append(text.str());
  return *this;
}

EventLine& EventLine::Duration(std::string_view name,
                               std::chrono::nanoseconds value) {
  if (this->log == nullptr) return *this;
  this->Name(std::string(name) + "_ms");
  this->line.append(
      std::to_string(std::chrono::duration_cast<milliseconds>(value).count()));
  return *this;
}

EventLog::EventLog(std::string line_source, std::ostream& output)
    : source(std::move(line_source)), out(output), ring(kRingCapacity) {
  this->thread = std::thread([this] { this->Run(); });
}

EventLog::~EventLog() {
  this->is_stopping = true;
  this->ring.Close();
  this->thread.join();
}

EventLine EventLog::Line(EventKind kind, std::string_view event) {
  return {this->TakeBudget(kind) ? this : nullptr, event};
}

bool EventLog::TakeBudget(EventKind kind) {
  Budget& budget = this->budgets.at(static_cast<std::size_t>(kind));
  const std::int64_t second = std::chrono::duration_cast<seconds>(
                                  steady_clock::now().time_since_epoch())
                                  .count();
  if (budget.second.exchange(second) != second) budget.used = 0;
  if (budget.used.fetch_add(1) < kBudgets.at(static_cast<std::size_t>(kind))) {
    return true;
  }
  ++this->dropped;
  return false;
}

void EventLog::Push(std::string line) {
  if (!this->ring.TryPush(std::move(line))) ++this->dropped;
}

void EventLog::Run() {
  while (true) {
    auto first = this->ring.PopUntil(steady_clock::now() + seconds(1));
    if (first) {
      this->out << *first;
      while (auto next = this->ring.TryPop()) this->out << *next;
    }
    this->WriteDropped();
    this->out.flush();
    if (this->is_stopping && this->ring.Size() == 0) return;
    if (!this->is_stopping) std::this_thread::sleep_for(kWritePause);
  }
}

void EventLog::WriteDropped() {
  const std::uint64_t total = this->dropped.load();
  if (total == this->reported) return;
  this->out << "{\"source\":\"" << this->source
            << "\",\"event\":\"lines_dropped\",\"count\":"
            << total - this->reported << ",\"total\":" << total << "}\n";
  this->reported = total;
}

}  // namespace bamboorack
