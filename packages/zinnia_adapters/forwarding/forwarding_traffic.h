#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "zinnia_adapters/forwarding/capacity_quota_watch.h"
#include "zinnia_adapters/forwarding/counted_engine_calls.h"
#include "zinnia_adapters/forwarding/crash_watch.h"
#include "zinnia_adapters/forwarding/engine_calls.h"
#include "zinnia_adapters/forwarding/forward_server.h"
#include "zinnia_adapters/forwarding/message_codec.h"
#include "zinnia_adapters/forwarding/prompt_part_watch.h"
#include "zinnia_adapters/forwarding/reachability_watch.h"
#include "zinnia_adapters/forwarding/server_connection_pool.h"
#include "zinnia_adapters/forwarding/stall_inquiry.h"
#include "zinnia_adapters/http/answer_limits.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
#include "zinnia_decisions/forwarding/admission/service_admissions.h"
#include "zinnia_decisions/forwarding/costs/answer_length_model.h"
#include "zinnia_decisions/forwarding/crashes/request_quarantine.h"
#include "zinnia_decisions/forwarding/division/fleet_quotas.h"
#include "zinnia_decisions/forwarding/division/proportional_division.h"
#include "zinnia_decisions/forwarding/limits/rendezvous_limit_division.h"
#include "zinnia_decisions/forwarding/limits/server_limits.h"
#include "zinnia_decisions/forwarding/observed_state/forwarding_view.h"
#include "zinnia_decisions/forwarding/observed_state/instance_report.h"
#include "zinnia_decisions/forwarding/observed_state/inter_domain_link_meter.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/server_health.h"
#include "zinnia_decisions/forwarding/paths/move_chooser.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_decisions/forwarding/paths/plain_server_chooser.h"
#include "zinnia_decisions/forwarding/paths/recovery_chooser.h"
#include "zinnia_decisions/forwarding/reachability/peer_chooser.h"
#include "zinnia_decisions/forwarding/retries/shared_retry_budget.h"
#include "zinnia_decisions/forwarding/streams/departure_schedule.h"
#include "zinnia_decisions/forwarding/streams/move_counts.h"

namespace zinnia {

class TrafficThread;

/** Dependencies of a ForwardingTraffic. All references must outlive it. */
struct ForwardingTrafficParts {
  Clock& clock;
  Logger& logger;
  Metrics& metrics;
  const MessageCodec& codec;
  EngineCalls& engine_calls;
  FailureDomainName own_failure_domain;
  NetworkAddress callers_address;
  SharedRetryBudgetSettings retry_budget;

  /** How long servers keep running after they announce their departure. */
  Duration departure_notice{};
  std::uint64_t random_seed = 0;

  /** Called on the traffic thread when this instance detects a stalled server. */
  std::function<void(const BackendServerName&)> on_stall_detected;

  /** Called on the traffic thread when a server's layers differ from its entry. */
  std::function<void(const ServerStateReport&)> on_server_state_report;

  /** Called on the traffic thread when a server's limit has changed. `heard_here`: the server
     itself reported it, not a peer. */
  std::function<void(std::vector<ServerLimitReport>, bool heard_here)> on_server_limits_changed;
  InstanceName own_name;

  /** Called on the traffic thread with the requests in flight at a server that has crashed. */
  std::function<void(std::vector<CrashReport>)> on_crash_reports;

  /** Called on the traffic thread when a request is found to crash servers. */
  std::function<void(const QuarantineReport&)> on_quarantined;

  /** Where requests of instances that reach no server are taken; none if empty. */
  std::optional<NetworkAddress> peer_requests_address = std::nullopt;

  /** Of one answer, and of what all answers in hand hold together. */
  AnswerLimits answer_limits = {};
  std::size_t answers_in_hand_bytes = kAnswersInHandBytes;
};

/** Owns the forwarding state of the traffic thread. Create, use and destroy it on that thread. */
class ForwardingTraffic {
 public:
  /** Throws ErrorException with kInvalidSettings if it cannot listen on the callers' address. */
  ForwardingTraffic(TrafficThread& thread, ForwardingTrafficParts parts);

  ForwardServer& Server() { return *m_server; }

  void SetView(std::shared_ptr<const ForwardingView> view);
  void SetDomainUses(const FailureDomainName& domain, LoadTracker::Uses uses);
  void OnPeerStalls(const std::vector<StallReport>& stalls);
  void OnPeerServerLimits(const std::vector<ServerLimitReport>& limits);
  void OnPeerSlowdowns(const std::vector<SlowdownReport>& slow_servers);
  void OnPeerCrashes(const std::vector<CrashReport>& crashes);
  void OnPeerQuarantines(const std::vector<QuarantineReport>& quarantines);
  void OnPeerCleared(const std::vector<ClearedRequest>& requests);
  void SetRetryBudget(SharedRetryBudgetSettings settings) { m_retries.SetSettings(settings); }
  void SetDepartureNotice(Duration notice) { m_departures.SetNotice(notice); }

  /** Returns this instance's load in flight, to be reported to its peers. */
  const LoadTracker::Uses& OwnUses() const { return m_loads.Own(); }
  std::vector<SlowdownReport> SlowServers() const { return m_health.SlowServers(); }
  std::vector<ServerLimitReport> TakeServerLimits() { return m_limits.TakeReports(); }

  /** Returns the requests that are refused because they crash servers, to be reported to peers.
     Call about every tenth of a second, also to drop expired ones. */
  std::vector<QuarantineReport> TakeQuarantines();

  /** Returns the requests that turned out not to crash servers, to be reported to peers at once. */
  std::vector<ClearedRequest> TakeCleared();

  /** Returns what this instance has newly counted of the lengths of answers, to be reported to
      peers; the rest with the next call. Call about every tenth of a second. */
  std::vector<AnswerLengthRow> TakeAnswerLengths();

  /** Replaces what all other instances have counted. */
  void SetPeerAnswerLengths(const std::vector<AnswerLengthRow>& rows) {
    m_answer_lengths.SetOthers(rows);
  }

 private:
  ForwardingParts MakeParts();
  void OnServerCrash(const std::vector<BrokenAttempt>& attempts);
  void OnCrashes(const std::vector<CrashReport>& crashes, std::string_view heard_from);
  void OnQuarantined(const Fingerprint& request, std::string_view heard_from);
  FleetPlace PlaceInFleet() const;
  void OnPartQuarantined(const QuarantineReport& quarantine);
  void LogNotCounted(const CrashReport& crash, std::string_view heard_from);
  void LogCleared(const ClearedRequest& cleared, std::string_view heard_from);
  void OnLimitReceived(const BackendServerName& server, std::string_view heard_from);
  void OnCutOff();
  void OnStalledHere(const std::vector<BackendServerName>& servers);

  const ForwardingTrafficParts m_parts;
  std::shared_ptr<const ForwardingView> m_view;
  RandomSource m_random;
  LoadTracker m_loads;
  ServerHealth m_health;
  RendezvousLimitDivision m_limit_division;
  ServerLimits m_limits;
  InterDomainLinkMeter m_link_meter;
  ServerConnectionPool m_connections;
  ProportionalDivision m_capacity_division;
  FleetQuotas m_quotas;
  CapacityQuotaWatch m_quota_watch;
  PathFinder m_paths;
  RecoveryChooser m_recovery;
  MoveChooser m_moves;
  MoveCounts m_move_counts;
  CapacityQueue m_capacity_queue;
  ServiceAdmissions m_admissions;
  DepartureSchedule m_departures;
  PlainServerChooser m_plain_servers;
  SharedRetryBudget m_retries;
  CountedEngineCalls m_counted_calls;
  StallInquiry m_stalls;
  ReachabilityWatch m_reachability;
  PeerChooser m_peers;
  CrashWatch m_crashes;
  RequestQuarantine m_quarantine;
  PromptPartWatch m_prompt_parts;
  AnswerLengthModel m_answer_lengths;
  std::unique_ptr<ForwardServer> m_server;
};

}  // namespace zinnia
