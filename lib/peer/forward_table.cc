#include "bamboorack/peer/forward_table.h"

#include <utility>

namespace bamboorack::peer {

bool ForwardTable::Add(ForwardId id, const DaemonId& daemon,
                       ConnectionGeneration generation,
                       MonotonicTime deadline) {
  Entry entry;
  entry.daemon = daemon;
  entry.generation = generation;
  entry.deadline = deadline;
  return this->open.emplace(id, std::move(entry)).second;
}

ForwardTable::Entry* ForwardTable::Find(const DaemonId& daemon,
                                        ConnectionGeneration generation,
                                        ForwardId id) {
  const auto found = this->open.find(id);
  if (found == this->open.end()) return nullptr;
  Entry& entry = found->second;
  const bool matches = entry.daemon == daemon && entry.generation == generation;
  return matches ? &entry : nullptr;
}

bool ForwardTable::OnAnswerHead(const DaemonId& daemon,
                                ConnectionGeneration generation, ForwardId id,
                                Answer head, std::size_t body_size) {
  Entry* entry = this->Find(daemon, generation, id);
  if (entry == nullptr || entry->head.has_value()) return false;
  entry->head = std::move(head);
  entry->body_size = body_size;
  this->FinishIfWhole(id, *entry);
  return true;
}

bool ForwardTable::OnAnswerBody(const DaemonId& daemon,
                                ConnectionGeneration generation, ForwardId id,
                                std::string_view bytes) {
  Entry* entry = this->Find(daemon, generation, id);
  if (entry == nullptr || !entry->head.has_value()) return false;
  if (entry->body.size() + bytes.size() > entry->body_size) return false;
  entry->body.append(bytes);
  this->FinishIfWhole(id, *entry);
  return true;
}

bool ForwardTable::OnRefusal(const DaemonId& daemon,
                             ConnectionGeneration generation, ForwardId id,
                             Refusal refusal) {
  Entry* entry = this->Find(daemon, generation, id);
  if (entry == nullptr || entry->head.has_value()) return false;
  this->End(id, tl::make_unexpected(std::move(refusal)));
  return true;
}

void ForwardTable::OnConnectionLost(const DaemonId& daemon,
                                    ConnectionGeneration generation) {
  std::vector<ForwardId> lost;
  for (const auto& [id, entry] : this->open) {
    if (entry.daemon == daemon && entry.generation == generation) {
      lost.push_back(id);
    }
  }
  for (const ForwardId id : lost) {
    this->End(id, Unknown(Reason::kPeerLost, daemon.value));
  }
}

void ForwardTable::Tick(MonotonicTime now) {
  for (auto& [id, entry] : this->open) {
    if (entry.is_abandoned || now < entry.deadline) continue;
    entry.is_abandoned = true;
    this->ended.push_back(
        {id, Unknown(Reason::kDeadlinePassed, entry.daemon.value)});
  }
}

std::vector<ForwardAnswered> ForwardTable::TakeEnded() {
  return std::exchange(this->ended, {});
}

void ForwardTable::End(ForwardId id, Result result) {
  const auto found = this->open.find(id);
  if (!found->second.is_abandoned) {
    this->ended.push_back({id, std::move(result)});
  }
  this->open.erase(found);
}

void ForwardTable::FinishIfWhole(ForwardId id, Entry& entry) {
  if (entry.body.size() < entry.body_size) return;
  Answer answer = std::move(*entry.head);
  answer.body = std::make_shared<const std::string>(std::move(entry.body));
  this->End(id, std::move(answer));
}

}  // namespace bamboorack::peer
