#include "ownership.h"

#include <algorithm>
#include <utility>

namespace bamboorack::fakes {
namespace {

// Groups are named `service/failure_domain/index`.
std::string ServiceOf(const std::string& group) {
  return group.substr(0, group.find('/'));
}

}  // namespace

Ownership::Ownership(OwnershipSettings own_settings)
    : settings(std::move(own_settings)) {}

std::optional<OrderError> Ownership::CheckOrder(const Order& order) {
  if (order.instance != this->settings.instance) {
    return OrderError::kOtherInstance;
  }
  std::uint64_t& highest = this->highest_tokens[order.group];
  if (this->settings.checks_tokens && order.token < highest) {
    return OrderError::kStaleToken;
  }
  highest = std::max(highest, order.token);
  return std::nullopt;
}

std::optional<OrderError> Ownership::Fence(const Order& order) {
  return this->CheckOrder(order);
}

std::optional<OrderError> Ownership::SetGrant(
    const Order& order, UpstreamReading echoed, std::chrono::milliseconds lease,
    bool only_if_unexpired, const std::vector<std::uint32_t>& shards,
    UpstreamReading now) {
  if (const auto error = this->CheckOrder(order)) return error;
  const Grant* current = this->FindGrant(order.group);
  if (only_if_unexpired &&
      (current == nullptr || current->lease_until <= now)) {
    return OrderError::kLeaseExpired;
  }
  this->grants[order.group] =
      Grant{order.token, {shards.begin(), shards.end()}, echoed + lease};
  return std::nullopt;
}

std::optional<OrderError> Ownership::Revoke(
    const Order& order, const std::vector<std::uint32_t>& shards) {
  if (const auto error = this->CheckOrder(order)) return error;
  const auto found = this->grants.find(order.group);
  if (found == this->grants.end()) return std::nullopt;
  for (const std::uint32_t shard : shards) found->second.shards.erase(shard);
  return std::nullopt;
}

const Grant* Ownership::FindGrant(const std::string& group) const {
  const auto found = this->grants.find(group);
  return found == this->grants.end() ? nullptr : &found->second;
}

std::uint64_t Ownership::HighestToken() const {
  std::uint64_t highest = 0;
  for (const auto& [group, token] : this->highest_tokens) {
    highest = std::max(highest, token);
  }
  return highest;
}

bool Ownership::HasStaleToken(const RequestOrder& request) const {
  return std::any_of(this->highest_tokens.begin(), this->highest_tokens.end(),
                     [&request](const auto& entry) {
                       return ServiceOf(entry.first) == request.service &&
                              request.token < entry.second;
                     });
}

bool Ownership::IsOwner(const RequestOrder& request,
                        UpstreamReading now) const {
  return std::any_of(
      this->grants.begin(), this->grants.end(), [&](const auto& entry) {
        const Grant& grant = entry.second;
        const bool has_lease =
            !this->settings.checks_lease || now < grant.lease_until;
        return ServiceOf(entry.first) == request.service &&
               grant.shards.count(request.shard) > 0 && has_lease;
      });
}

std::optional<std::string_view> Ownership::FindRefusal(
    const RequestOrder& request, UpstreamReading now) const {
  if (request.instance != this->settings.instance) return "other_instance";
  if (request.deadline <= now) return "deadline";
  // An attempt that was settled as not run comes too late.
  if (this->IsFenced(request)) return "deadline";
  if (this->settings.checks_tokens) {
    if (this->HasStaleToken(request)) return "stale_token";
    if (!this->IsOwner(request, now)) return "not_owner";
  }
  return std::nullopt;
}

std::optional<std::string_view> Ownership::Admit(const RequestOrder& request,
                                                 bool is_draining,
                                                 UpstreamReading now) {
  if (const auto refusal = this->FindRefusal(request, now)) return refusal;
  if (is_draining) return "draining";
  this->pending_ids.insert(request.request_id);
  this->pending_shards.emplace(request.service, request.shard);
  return std::nullopt;
}

void Ownership::EndPending(const RequestOrder& request) {
  this->pending_ids.erase(this->pending_ids.find(request.request_id));
  this->pending_shards.erase(
      this->pending_shards.find({request.service, request.shard}));
}

void Ownership::MarkRan(const RequestOrder& request) {
  this->EndPending(request);
  ++this->runs[request.request_id];
}

void Ownership::MarkNotRun(const RequestOrder& request) {
  this->EndPending(request);
}

bool Ownership::HasPending(const std::string& group,
                           const std::vector<std::uint32_t>& shards) const {
  const std::string service = ServiceOf(group);
  return std::any_of(shards.begin(), shards.end(),
                     [this, &service](std::uint32_t shard) {
                       return this->pending_shards.count({service, shard}) > 0;
                     });
}

bool Ownership::IsFenced(const RequestOrder& request) const {
  const auto fence = this->fenced.find(request.request_id);
  return fence != this->fenced.end() &&
         std::pair(request.token, request.dispatch) <= fence->second;
}

std::string_view Ownership::Settle(const RequestOrder& through) {
  if (this->pending_ids.count(through.request_id) > 0) return "running";
  if (this->runs.count(through.request_id) > 0) return "done";
  auto& fence = this->fenced[through.request_id];
  fence = std::max(fence, {through.token, through.dispatch});
  return "not_run";
}

}  // namespace bamboorack::fakes
