// Load and health of the endpoints as seen by this router: the work in progress on each, from this router and its
// peers, and failures. A service of the kernel.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/kernel.h"
#include "core/metrics.h"
#include "direct/directory.h"
#include "direct/limit_tracker.h"
#include "direct/router_group.h"
#include "persimmon/kv_placement.h"
#include "persimmon/selection.h"
#include "platform/requests.h"

namespace persimmon {

// An endpoint selected for a request. A copy, because its registry entry may change while the request runs.
struct chosen_endpoint {
  endpoint_name name;
  std::uint64_t started_ms = 0;  // start time of its process, which identifies the incarnation
  zone_name zone;
  host_port address;
  std::string version;  // of its software

  bool operator==(const chosen_endpoint&) const = default;
};

class endpoint_tracker {
 public:
  // Of the answers of endpoints to requests of the router itself.
  static constexpr std::size_t kMaxControlBytes = 64U << 10U;
  static constexpr std::size_t kMaxReportBytes = 256U << 10U;  // lists models with their adapters

  endpoint_tracker(kernel& services, const direct_settings& settings);

  void Start();
  void Stop();

  // Add to or subtract from the load that this router puts on the endpoint. Counts never go below zero.
  void AddCall(const endpoint_name& endpoint, int calls);
  void AddPrefill(const endpoint_name& endpoint, std::int64_t tokens, int prefills);

  // Track the KV memory of a stream from its reservation to its end. The id is valid until the stream is removed.
  using stream_id = std::uint64_t;
  stream_id AddStream(const endpoint_name& endpoint, const stream_memory& memory);
  void UpdateStream(const endpoint_name& endpoint, stream_id id, const stream_memory& memory);
  void RemoveStream(const endpoint_name& endpoint, stream_id id);

  // An engine refused to reserve this many tokens; it is not asked for that many or more during refused_pause.
  void RecordReservationRefused(const endpoint_name& endpoint, std::uint32_t tokens);

  // Records what any response of the endpoint says about the endpoint itself. `sent`: when its request was sent.
  void RecordResponse(const chosen_endpoint& endpoint, const platform::response_metadata& metadata, time_point sent);

  // Sends a request that the router itself makes. Nothing in its response names it, so one that names an attempt, or
  // that `fits` rejects, is taken for the response to another request. Null: every body fits. Errors: those of Fetch;
  // kProtocol for a response to another request, where this one may have taken effect.
  task<result<http_response>> FetchControl(http_client& client, chosen_endpoint endpoint, http_request request,
                                           milliseconds timeout, http_client::response_filter fits = nullptr,
                                           std::size_t body_bytes = kMaxControlBytes);

  // Reads the report of an engine and records its response. Errors: those of FetchControl; kUnavailable for a refusal.
  task<result<platform::engine_report>> FetchReport(http_client& client, chosen_endpoint engine, milliseconds timeout);

  void RecordAnswer(const chosen_endpoint& endpoint);
  void RecordFailure(const chosen_endpoint& endpoint);  // no complete response, or a timeout
  // The request could not be sent. A lack of descriptors in this process says nothing of the endpoint.
  void RecordUnreachable(const chosen_endpoint& endpoint, const error& failure);
  void RecordRequestRejected(const chosen_endpoint& endpoint);  // it refused work for which it should have capacity

  // Records that the engine has accepted an order to switch its stage, so that it gets no work while it switches and
  // until its registry entry shows the new stage.
  void RecordStageOrder(const chosen_endpoint& endpoint, milliseconds switch_time);
  void RecordBusy(const chosen_endpoint& endpoint, milliseconds pause);  // the engine is executing an order

  // True if the service uses the adaptive policy (docs/load-control.md, section 1).
  bool UsesAdaptivePolicy(const std::string& service) const;

  // Records that an endpoint of the service has reported how long work takes on its VM.
  void RecordWorkTimeReport(const std::string& service) { work_time_reports_[service] = timer_service::Now(); }

  // Ready endpoints of a service. The views have the same order, so an index into a view selects its endpoint.
  std::vector<chosen_endpoint> ListEndpoints(const std::string& service, std::optional<endpoint_role> role) const;
  std::vector<endpoint_view> PlainViews(const std::vector<chosen_endpoint>& endpoints,
                                        const std::vector<endpoint_name>& avoid) const;
  // `is_usable`: false for engines that cannot serve the request, whatever their state. An ejected engine is used if
  // all usable ones are ejected.
  std::vector<engine_view> EngineViews(
      const std::vector<chosen_endpoint>& endpoints, const engine_profile& profile,
      const std::vector<endpoint_name>& avoid,
      const std::function<bool(const chosen_endpoint&)>& is_usable = [](const chosen_endpoint&) { return true; }) const;

  // True if the endpoint is registered with the same incarnation and is not draining.
  bool IsCurrent(const chosen_endpoint& endpoint) const;

  // An endpoint may state how many requests per second it takes. Then each request to it needs a permit.
  bool IsLimited(const chosen_endpoint& endpoint) const { return limits_->IsLimited(LimitKey(endpoint)); }
  bool IsPermitValid(const chosen_endpoint& endpoint, const send_permit& permit) const {
    return limits_->IsValid(LimitKey(endpoint), permit);
  }

  // Waits for a permit; see limit_tracker::Acquire.
  task<permit_result> AcquirePermit(const chosen_endpoint& endpoint, milliseconds max_wait) {
    return limits_->Acquire(LimitKey(endpoint), max_wait);
  }

  // Accounts for a request that is sent without a permit, because it must not wait.
  void ChargeLimit(const chosen_endpoint& endpoint) { limits_->Charge(LimitKey(endpoint)); }

  // The check of a send: true while the endpoint is the same incarnation, receives new work and is not closed, and the
  // permit is valid.
  http_call::send_check MakeSendCheck(const chosen_endpoint& endpoint, const send_permit& permit) const {
    return [this, endpoint, permit] {
      return IsCurrent(endpoint) && !IsClosed(endpoint) && IsPermitValid(endpoint, permit);
    };
  }

  // A closed endpoint has asked this router by a Retry-After header to send nothing for some time. In contrast to a
  // paused one, it gets no requests even if there is no other.
  bool IsClosed(const chosen_endpoint& endpoint) const;
  bool IsClosed(const host_port& address) const;

  // Time until the first of the endpoints opens again and its limit allows a request; 0 if one of them takes requests
  // now or there is none.
  milliseconds TimeUntilOpen(const std::vector<chosen_endpoint>& endpoints) const;

  // The registered endpoint at an address.
  std::optional<chosen_endpoint> FindByAddress(const std::string& service, const host_port& address) const;

  // True if the registry lists the endpoint as a decode engine.
  bool IsDecodeEngine(const endpoint_name& endpoint) const;

  // Load that this router puts on the endpoints, and its pauses of them, to be sent to its peers.
  std::vector<endpoint_use> LocalUses() const;

 private:
  struct endpoint_state {
    endpoint_use use;  // without streams
    std::map<stream_id, stream_memory> streams;
    time_point paused_until;
    milliseconds down_pause{0};
    std::uint32_t refused_tokens = 0;
    time_point refused_until;
  };

  struct closure {
    std::uint64_t started_ms = 0;  // of the incarnation that has asked for it
    host_port address;
    time_point until;
  };

  static limited_endpoint LimitKey(const chosen_endpoint& endpoint) {
    return {EndpointKey(endpoint.name), endpoint.started_ms};
  }
  void CloseEndpoint(const chosen_endpoint& endpoint, milliseconds duration);
  void PauseEndpoint(const chosen_endpoint& endpoint, const char* reason);
  endpoint_state& StateOf(const endpoint_name& endpoint);
  const endpoint_state* FindState(const endpoint_name& endpoint) const;
  bool CanReceive(const chosen_endpoint& endpoint, time_point now) const;
  double HealthShare(const endpoint_name& endpoint) const;
  void UpdateHealth();
  void RemoveIdleStates();
  void RemoveEndedClosures();

  kernel& kernel_;
  const direct_settings& settings_;
  deployment_directory* directory_ = nullptr;
  router_group* group_ = nullptr;
  limit_tracker* limits_ = nullptr;
  metrics_registry* metrics_ = nullptr;
  std::map<endpoint_name, endpoint_state> states_;
  std::map<endpoint_name, closure> closures_;
  stream_id next_stream_ = 0;
  std::map<std::string, health_table> health_;           // by service
  std::map<std::string, time_point> work_time_reports_;  // latest, by service
  timer_subscription health_timer_;
};

}  // namespace persimmon
