// Sections
//   1. channels
//   2. silent routers
//   3. load reports
//   4. configuration from routers
#include <fmt/format.h>

#include <algorithm>

#include "agent/agent_state.h"

namespace persimmon::detail {
namespace {

// Keeps a report below kMaxDatagramBytes: 17 bytes for each event and about 200 for the rest.
constexpr std::size_t kEventsPerReport = 48;

// If no snapshot arrives, the request to the same router is repeated after this time.
constexpr milliseconds kFetchRetryPause(1'000);
// An unchanged report is repeated after half of the age from which routers assume that an endpoint has no free slots
// (selection_settings::stale_report).
constexpr milliseconds kUnchangedReportPeriod(1'000);

}  // namespace

// ---------------------------------------------------------------------------------------------------------------------
// 1. channels
// ---------------------------------------------------------------------------------------------------------------------

hello agent_state::MakeHello() const {
  hello own;
  own.program = "agent";
  own.name = settings.name;
  own.incarnation = incarnation;
  own.zone = settings.zone;
  own.secret = settings.secret;
  own.revision = configs.Revision();
  return own;
}

heartbeat agent_state::MakeHeartbeat() const {
  heartbeat heartbeat_message;
  heartbeat_message.revision = configs.Revision();
  heartbeat_message.leaving = leaving;
  return heartbeat_message;
}

router_session* agent_state::FindSession(const channel_ptr& router_channel) {
  const auto found = sessions.find({router_name{router_channel->Peer().name}, router_channel->Peer().incarnation});
  return found == sessions.end() ? nullptr : &found->second;
}

void agent_state::OnOpen(const channel_ptr& router_channel) {
  const router_identity identity{router_name{router_channel->Peer().name}, router_channel->Peer().incarnation};
  std::vector<router_identity> older;
  for (const auto& [other, session] : sessions) {
    if (other.name == identity.name && other.incarnation < identity.incarnation) {
      older.push_back(other);
    }
  }
  for (const router_identity& other : older) {
    DropRouter(other, "a newer incarnation has connected");
  }
  router_session& session = sessions[identity];
  session.identity = identity;
  const channel_ptr previous = std::exchange(session.channel, router_channel);
  session.last_message_at = timer_service::Now();
  log.Info("Router {} incarnation {} has connected from {}.", identity.name.value, identity.incarnation,
           router_channel->RemoteAddress());
  if (previous && previous != router_channel) {
    previous->Close({error_code::kClosed, "the router has opened a new channel"});
  }
  for (const slot_opening& opening : slots.ListOpenings(timer_service::Now())) {
    const slot_role role = opening.kind == slot_kind::kPrefill ? slot_role::kPrefill : slot_role::kDecode;
    router_channel->Send(slot_open{role, ++opening_sequence, static_cast<std::uint32_t>(opening.start_in.count())});
  }
  FetchConfigIfNewer(session, router_channel->Peer().revision);
  UpdateStorePolling();
}

void agent_state::OnMessage(const channel_ptr& router_channel, const message& value) {
  router_session* session = FindSession(router_channel);
  if (session == nullptr || session->channel != router_channel) {
    return;
  }
  session->last_message_at = timer_service::Now();
  if (const auto* heartbeat_message = std::get_if<heartbeat>(&value)) {
    FetchConfigIfNewer(*session, heartbeat_message->revision);
  } else if (const auto* reserve = std::get_if<reserve_slot>(&value)) {
    OnReserve(*session, *reserve);
  } else if (const auto* prefill = std::get_if<start_prefill>(&value)) {
    OnStart(*session, *prefill);
  } else if (const auto* decode = std::get_if<start_decode>(&value)) {
    OnStart(*session, *decode);
  } else if (const auto* resume = std::get_if<resume_stream>(&value)) {
    OnResume(*session, *resume);
  } else if (const auto* call = std::get_if<call_service>(&value)) {
    OnCall(*session, *call);
  } else if (const auto* stop = std::get_if<cancel>(&value)) {
    OnCancel(*session, *stop);
  } else if (const auto* query = std::get_if<query_attempt>(&value)) {
    OnQuery(*session, *query);
  } else if (const auto* snapshot = std::get_if<config_snapshot>(&value)) {
    configs.OfferSnapshot(session->identity.name.value, *snapshot, router_channel->Peer().zone);
  } else if (const auto* fetch = std::get_if<fetch_config>(&value)) {
    router_channel->Send(configs.MakeSnapshot(fetch->have));
  } else {
    log.Warning("Ignored {} from router {}: agents do not handle this message.", MessageName(value),
                session->identity.name.value);
  }
}

void agent_state::OnClose(const channel_ptr& router_channel) {
  for (const auto& [attempt, work] : work_items) {
    if (work->channel == router_channel) {
      work->channel.reset();
    }
  }
  router_session* session = FindSession(router_channel);
  if (session != nullptr && session->channel == router_channel) {
    session->channel.reset();
    log.Info("The channel of router {} was lost.", session->identity.name.value);
  }
  UpdateStorePolling();
}

void agent_state::SendTo(const router_identity& router, const message& value) {
  const auto found = sessions.find(router);
  if (found != sessions.end() && found->second.channel) {
    found->second.channel->Send(value);
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. silent routers
// ---------------------------------------------------------------------------------------------------------------------

void agent_state::DropSilentRouters(time_point now) {
  std::vector<router_identity> silent;
  for (const auto& [identity, session] : sessions) {
    if (now - session.last_message_at >= settings.router_silence) {
      silent.push_back(identity);
    }
  }
  for (const router_identity& identity : silent) {
    DropRouter(identity, "it exceeded the silence limit");
  }
}

void agent_state::DropRouter(const router_identity& identity, const char* reason) {
  const auto found = sessions.find(identity);
  if (found == sessions.end()) {
    return;
  }
  const channel_ptr router_channel = found->second.channel;
  sessions.erase(found);
  if (router_channel) {
    router_channel->Close({error_code::kTimeout, reason});
  }
  const std::size_t released_slots = slots.DropRouter(identity).size();
  std::size_t cancelled = 0;
  const auto work_snapshot = work_items;
  for (const auto& [attempt, work] : work_snapshot) {
    if (work->router != identity) {
      continue;
    }
    if (!work->ended) {
      ++cancelled;
      CancelWork(work);
    }
  }
  log.Info("Dropped router {} incarnation {} because {}: {} slots released, {} attempts cancelled.",
           identity.name.value, identity.incarnation, reason, released_slots, cancelled);
  UpdateStorePolling();
  ProcessSlots();
}

// ---------------------------------------------------------------------------------------------------------------------
// 3. load reports
// ---------------------------------------------------------------------------------------------------------------------

load_report agent_state::MakeLoadReport() const {
  const time_point now = timer_service::Now();
  load_report report;
  report.secret = settings.secret;
  report.endpoint = endpoint_name{settings.name};
  report.incarnation = incarnation;
  report.revision = configs.Revision();
  report.leaving = leaving;
  report.ready = IsReady();
  report.prefill_free = static_cast<std::uint16_t>(slots.CountFree(slot_kind::kPrefill));
  report.decode_free = static_cast<std::uint16_t>(slots.CountFree(slot_kind::kDecode));
  report.decode_slots = static_cast<std::uint16_t>(slots.Slots(slot_kind::kDecode));
  report.queued_tokens = slots.QueuedPromptTokens();
  report.prefill_tokens_per_s = static_cast<std::uint32_t>(speed.prefill_tokens_per_s);
  report.token_interval_us = static_cast<std::uint32_t>(speed.token_interval.count());
  report.decode_free_in_ms = static_cast<std::uint32_t>(slots.PredictFree(slot_kind::kDecode, now).count());
  const milliseconds permit_wait = PredictPermitWait();
  if (permit_wait > milliseconds(0)) {
    report.prefill_free = 0;
    report.decode_free = 0;
    const auto wait_ms = static_cast<std::uint32_t>(permit_wait.count());
    report.decode_free_in_ms = IsEngine() ? std::max(report.decode_free_in_ms, wait_ms) : wait_ms;
  }
  return report;
}

void agent_state::AddCacheEvents(router_session& session, load_report& report) {
  for (const cache_event& event : cache_events) {
    if (report.cache_events.size() >= kEventsPerReport) {
      break;
    }
    if (event.sequence > session.last_event_sent) {
      report.cache_events.push_back(event);
      session.last_event_sent = event.sequence;
    }
  }
}

void agent_state::SendLoadReports() {
  if (!datagrams) {
    return;
  }
  const load_report common = MakeLoadReport();
  ++report_sequence;
  for (auto& [identity, session] : sessions) {
    if (!session.channel || session.channel->Peer().datagram_port == 0) {
      continue;
    }
    load_report report = common;
    AddCacheEvents(session, report);
    const time_point now = timer_service::Now();
    if (report == session.last_report && now - session.last_report_at < kUnchangedReportPeriod) {
      continue;
    }
    session.last_report = report;
    session.last_report_at = now;
    report.sequence = report_sequence;
    datagrams->Send({session.channel->RemoteHost(), session.channel->Peer().datagram_port}, report);
  }
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. configuration from routers
// ---------------------------------------------------------------------------------------------------------------------

void agent_state::FetchConfigIfNewer(router_session& session, revision_number revision) {
  const time_point now = timer_service::Now();
  if (revision <= configs.Revision() || !session.channel || now - session.last_fetch < kFetchRetryPause) {
    return;
  }
  // Once a configuration is in force, one request at a time is enough. Before that, several routers are asked.
  if (configs.IsInForce()) {
    const bool request_pending = std::any_of(sessions.begin(), sessions.end(), [now](const auto& item) {
      return now - item.second.last_fetch < kFetchRetryPause;
    });
    if (request_pending) {
      return;
    }
  }
  session.last_fetch = now;
  session.channel->Send(fetch_config{configs.Revision()});
}

void agent_state::UpdateStorePolling() {
  const bool connected =
      std::any_of(sessions.begin(), sessions.end(), [](const auto& item) { return item.second.channel != nullptr; });
  configs.SetPolling(!connected);
}

}  // namespace persimmon::detail
