#include "bamboorack/vm_list/membership.h"

#include <chrono>
#include <set>
#include <utility>

namespace bamboorack::vm_list {
namespace {

/// A gone VM is remembered this long. It bounds the memory when 1,400 VMs a
/// day are replaced, and an operator can declare upstreams lost until then.
constexpr std::chrono::hours kGoneMemory{24};

}  // namespace

void Membership::OnList(const ListRead& list) {
  if (this->last_sent_at && list.sent_at <= *this->last_sent_at) return;
  this->last_sent_at = list.sent_at;
  if (!list.vms.empty()) {
    this->empty_since.reset();
    this->Apply(list, list.sent_at);
    return;
  }
  if (!this->empty_since) {
    this->empty_since = list.sent_at;
    return;
  }
  this->Apply(list, *this->empty_since);
}

void Membership::Apply(const ListRead& list, MonotonicTime gone_at) {
  std::set<VmId> listed;
  for (const VmEntry& entry : list.vms) {
    listed.insert(entry.vm);
    this->TakeListed(entry, gone_at);
  }
  for (auto& [vm, history] : this->histories) {
    if (listed.contains(vm)) continue;
    if (!history.gone_at) history.gone_at = gone_at;
    this->view[vm] = VmFacts{false, history.gone_at};
  }
  this->ForgetLongGone(list.sent_at);
}

void Membership::TakeListed(const VmEntry& entry, MonotonicTime gone_at) {
  History& history =
      this->histories.try_emplace(entry.vm, History{entry.instance, {}, {}})
          .first->second;
  if (history.instance != entry.instance) {
    const MonotonicTime replaced_at = history.gone_at.value_or(gone_at);
    history = History{entry.instance, {}, replaced_at};
  }
  // An instance that is listed again was never gone.
  history.gone_at.reset();
  this->view[entry.vm] =
      VmFacts{entry.state == VmState::kLeaving, history.earlier_gone_at};
}

void Membership::ForgetLongGone(MonotonicTime now) {
  std::erase_if(this->histories, [this, now](const auto& entry) {
    const auto& [vm, history] = entry;
    if (!history.gone_at || now - *history.gone_at < kGoneMemory) return false;
    this->view.erase(vm);
    return true;
  });
}

}  // namespace bamboorack::vm_list
