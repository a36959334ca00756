#ifndef BAMBOORACK_VM_LIST_VM_LIST_CODEC_H_
#define BAMBOORACK_VM_LIST_VM_LIST_CODEC_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "bamboorack/vm_list/messages.h"

namespace bamboorack::vm_list {

/// Reads the platform's VM list. One wrong entry makes the whole list an
/// error, because leaving the entry out would say that its VM is gone. It
/// never throws.
tl::expected<std::vector<VmEntry>, std::string> DecodeVmList(
    std::string_view json);

/// Writes what `DecodeVmList` reads.
std::string EncodeVmList(const std::vector<VmEntry>& vms);

}  // namespace bamboorack::vm_list

#endif  // BAMBOORACK_VM_LIST_VM_LIST_CODEC_H_
