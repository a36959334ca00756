#ifndef BAMBOORACK_VM_LIST_MEMBERSHIP_H_
#define BAMBOORACK_VM_LIST_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <string>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/membership.h"
#include "bamboorack/core/time.h"
#include "bamboorack/vm_list/messages.h"

namespace bamboorack::vm_list {

/// Turns the platform's lists into facts about VMs. A VM is gone when the
/// instance that was listed last is not listed any more.
class Membership {
 public:
  /// Takes a list. Ignores it if it was not requested after the last one. An
  /// empty list counts only if the one before it was empty too, because an
  /// empty list after a filled one is more often a fault of the platform than
  /// the loss of all VMs.
  void OnList(const ListRead& list);

  const MembershipView& View() const { return this->view; }

 private:
  struct History {
    std::string instance;
    /// When the first list without `instance` was requested.
    std::optional<MonotonicTime> gone_at;
    /// The same for the instance before it.
    std::optional<MonotonicTime> earlier_gone_at;
  };

  void Apply(const ListRead& list, MonotonicTime gone_at);
  void TakeListed(const VmEntry& entry, MonotonicTime gone_at);
  void ForgetLongGone(MonotonicTime now);

  std::optional<MonotonicTime> last_sent_at;
  /// When the first of the latest run of empty lists was requested.
  std::optional<MonotonicTime> empty_since;
  std::map<VmId, History> histories;
  MembershipView view;
};

}  // namespace bamboorack::vm_list

#endif  // BAMBOORACK_VM_LIST_MEMBERSHIP_H_
