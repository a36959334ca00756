#include "bamboorack/vm_list/vm_list_client.h"

#include <chrono>
#include <utility>

#include "bamboorack/vm_list/vm_list_codec.h"

namespace bamboorack::vm_list {
namespace {

constexpr std::chrono::milliseconds kConnectLimit{300};
constexpr int kOk = 200;

}  // namespace

VmListClient::VmListClient(const Endpoint& vm_list)
    : http(vm_list, kConnectLimit) {}

tl::expected<ListRead, std::string> VmListClient::Read(
    MonotonicTime deadline, const std::stop_token& stop) {
  const MonotonicTime sent_at = std::chrono::steady_clock::now();
  const auto reply = this->http.Call({"GET", "/vms", {}}, deadline, stop);
  if (!reply) return tl::make_unexpected(reply.error().detail);
  if (reply->status != kOk) {
    return tl::make_unexpected("the VM list answered with status " +
                               std::to_string(reply->status));
  }
  auto vms = DecodeVmList(reply->body);
  if (!vms) return tl::make_unexpected(std::move(vms.error()));
  return ListRead{sent_at, std::move(*vms)};
}

}  // namespace bamboorack::vm_list
