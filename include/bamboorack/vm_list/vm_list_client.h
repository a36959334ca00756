#ifndef BAMBOORACK_VM_LIST_VM_LIST_CLIENT_H_
#define BAMBOORACK_VM_LIST_VM_LIST_CLIENT_H_

#include <stop_token>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/http_client.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"
#include "bamboorack/vm_list/messages.h"

namespace bamboorack::vm_list {

/// Reads the platform's VM list. For one thread.
class VmListClient {
 public:
  explicit VmListClient(const Endpoint& vm_list);

  /// Reads the list. Fails if there is no valid list by `deadline`.
  tl::expected<ListRead, std::string> Read(MonotonicTime deadline,
                                           const std::stop_token& stop);

 private:
  HttpClient http;
};

}  // namespace bamboorack::vm_list

#endif  // BAMBOORACK_VM_LIST_VM_LIST_CLIENT_H_
