// Decides by the API key of a caller whether its request may be sent to endpoints, and names its account to them. A
// service of the kernel.
//
// The decision is made when a request arrives and repeated before each send until its response has started, because
// keys may be revoked meanwhile. Without accounts in the desired state, every request is accepted.
//
// With strict revocation, a request with a key is accepted only while the desired state is confirmed: the store, or a
// router whose own state is confirmed, has stated within revoke_time that there is no newer one.
#pragma once

#include <optional>
#include <string>

#include "core/kernel.h"
#include "core/metrics.h"
#include "direct/direct_call.h"
#include "direct/directory.h"
#include "direct/router_group.h"

namespace persimmon {

// Reason of the refusal of a request over the limit of its account.
inline constexpr const char* kOverLimit = "account_limit";

class caller_auth {
 public:
  caller_auth(kernel& services, const direct_settings& settings, http_client& client)
      : kernel_(services), settings_(settings), client_(client) {}

  void Start();
  void Stop() { stopped_ = true; }

  // Determines the account of a request that has arrived. Returns why it must not be served, or nothing.
  std::optional<call_refusal> Authenticate(direct_call& call);

  // Determines the account again by the current desired state; to be called before each attempt. Returns why the
  // request must not be sent, or nothing. A call whose response has started is not refused.
  std::optional<call_refusal> Recheck(direct_call& call);

  // Makes a check of a send that is true if `check` is and the account of the call is still the one that the request
  // names, or its response has started. Records in the call that it is sent.
  http_call::send_check MakeSendCheck(direct_call_ptr call, http_call::send_check check);

  // JSON for other routers: the revision of the desired state, and how long ago it was confirmed. Empty without
  // confirmation. `target`: of the request, whose id the answer repeats.
  std::string ExportConfirmation(std::string_view target) const;

  // Counts the result of the account checks of a call that has ended.
  void CountResult(const direct_call& call);

 private:
  enum class key_verdict : std::uint8_t { kAccepted, kMissing, kUnknown, kMayBeNew, kUnconfirmed };

  struct key_check {
    key_verdict verdict = key_verdict::kAccepted;
    const caller_account* account = nullptr;  // in the routing table
  };

  key_check Check(const direct_call& call, const routing_table& routes) const;
  std::optional<time_point> ConfirmedAt() const;
  bool IsConfirmed() const;
  task<> FollowPeers();
  task<> AskPeer(host_port address);
  bool IsAccountCurrent(const direct_call& call) const;
  std::optional<call_refusal> Apply(direct_call& call, bool is_new);

  kernel& kernel_;
  const direct_settings& settings_;
  http_client& client_;
  deployment_directory* directory_ = nullptr;
  router_group* group_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  std::optional<time_point> confirmed_by_peer_at_;  // the active desired state
  // The latest confirmation of a newer desired state than the active one; it holds once that one is active.
  revision_number newer_revision_ = 0;
  time_point newer_confirmed_at_;
  bool stopped_ = false;
};

}  // namespace persimmon
