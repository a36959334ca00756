#ifndef BAMBOORACK_VM_LIST_MESSAGES_H_
#define BAMBOORACK_VM_LIST_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"

namespace bamboorack::vm_list {

enum class VmState : std::uint8_t { kLive, kLeaving };

/// One VM of the platform's list.
struct VmEntry {
  VmId vm;
  /// Changes when the platform replaces the VM.
  std::string instance;
  /// IP address without port.
  std::string address;
  FailureDomain failure_domain;
  VmState state = VmState::kLive;
};

/// A whole list. It lags behind reality.
struct ListRead {
  MonotonicTime sent_at;
  std::vector<VmEntry> vms;
};

struct ListFailed {
  std::string detail;
};

/// From the VM list thread to the control thread.
using FromVmList = std::variant<ListRead, ListFailed>;

}  // namespace bamboorack::vm_list

#endif  // BAMBOORACK_VM_LIST_MESSAGES_H_
