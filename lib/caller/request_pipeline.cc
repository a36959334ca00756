#include "bamboorack/caller/request_pipeline.h"

#include <algorithm>
#include <utility>

namespace bamboorack::caller {

using State = CallerExchange::State;

bool RequestPipeline::HasRoom() const {
  if (this->exchanges.empty()) return true;
  // The requests behind one that is held back would wait for it anyway.
  if (this->exchanges.back().state == State::kHeldBack) return false;
  return this->exchanges.size() < this->limits.requests_per_connection &&
         this->usage.requests_ahead < this->limits.requests_ahead &&
         this->usage.waiting_answer_bytes < this->limits.waiting_answer_bytes;
}

CallerExchange& RequestPipeline::Add(CallerExchange exchange) {
  if (!this->exchanges.empty()) {
    ++this->usage.requests_ahead;
    this->usage.waiting_answer_bytes += AnswerBytes(exchange);
  }
  return this->exchanges.emplace_back(std::move(exchange));
}

bool RequestPipeline::MayStart(const CallerExchange& exchange) const {
  return exchange.rank == Rank::kLookup || this->IsFirst(exchange);
}

bool RequestPipeline::IsFirst(const CallerExchange& exchange) const {
  return &exchange == &this->exchanges.front();
}

CallerExchange* RequestPipeline::Find(CallerSlot slot) {
  const auto found = std::find_if(
      this->exchanges.begin(), this->exchanges.end(),
      [slot](const CallerExchange& exchange) {
        return exchange.state == State::kInWork && exchange.slot == slot;
      });
  return found == this->exchanges.end() ? nullptr : &*found;
}

void RequestPipeline::SetResult(CallerExchange& exchange, Result result) {
  exchange.state = State::kAnswered;
  exchange.result = std::move(result);
  if (!this->IsFirst(exchange)) {
    this->usage.waiting_answer_bytes += AnswerBytes(exchange);
  }
}

std::optional<CallerExchange> RequestPipeline::PopAnswered() {
  if (this->exchanges.empty()) return std::nullopt;
  if (this->exchanges.front().state != State::kAnswered) return std::nullopt;
  std::optional<CallerExchange> first(std::move(this->exchanges.front()));
  this->exchanges.pop_front();
  if (!this->exchanges.empty()) this->Uncount(this->exchanges.front());
  return first;
}

CallerExchange* RequestPipeline::HeldFirst() {
  if (this->exchanges.empty()) return nullptr;
  CallerExchange& first = this->exchanges.front();
  return first.state == State::kHeldBack ? &first : nullptr;
}

CallerExchange* RequestPipeline::FindOverdue(MonotonicTime now) {
  const auto found = std::find_if(
      this->exchanges.begin(), this->exchanges.end(),
      [now](const CallerExchange& exchange) {
        return exchange.state == State::kInWork && exchange.answer_by <= now;
      });
  return found == this->exchanges.end() ? nullptr : &*found;
}

void RequestPipeline::EndAfterLast() {
  while (this->exchanges.size() > 1 &&
         this->exchanges.back().state == State::kHeldBack) {
    this->Uncount(this->exchanges.back());
    this->exchanges.pop_back();
  }
  if (!this->exchanges.empty()) this->exchanges.back().keep_alive = false;
}

std::optional<MonotonicTime> RequestPipeline::NextAnswerDue() const {
  std::optional<MonotonicTime> next;
  for (const CallerExchange& exchange : this->exchanges) {
    if (exchange.state != State::kInWork) continue;
    next = std::min(next.value_or(exchange.answer_by), exchange.answer_by);
  }
  return next;
}

std::vector<CallerSlot> RequestPipeline::SlotsInWork() const {
  std::vector<CallerSlot> slots;
  for (const CallerExchange& exchange : this->exchanges) {
    if (exchange.state == State::kInWork) slots.push_back(exchange.slot);
  }
  return slots;
}

void RequestPipeline::Clear() {
  for (const CallerExchange& exchange : this->exchanges) {
    if (!this->IsFirst(exchange)) this->Uncount(exchange);
  }
  this->exchanges.clear();
}

std::size_t RequestPipeline::AnswerBytes(const CallerExchange& exchange) {
  if (!exchange.result || !exchange.result->has_value()) return 0;
  const Body& body = (*exchange.result)->body;
  return body == nullptr ? 0 : body->size();
}

void RequestPipeline::Uncount(const CallerExchange& exchange) {
  --this->usage.requests_ahead;
  this->usage.waiting_answer_bytes -= AnswerBytes(exchange);
}

}  // namespace bamboorack::caller
