#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/forwarding/observed_state/server_state_report.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class AnswerLengthModel;
class Clock;
class CrashWatch;
class DepartureSchedule;
class EngineCalls;
class LoadTracker;
class Logger;
class MessageCodec;
class Metrics;
class MoveChooser;
class MoveCounts;
class PathFinder;
class PeerChooser;
class PromptPartWatch;
class FleetQuotas;
class InterDomainLinkMeter;
class PlainServerChooser;
class ReachabilityWatch;
class RecoveryChooser;
class RequestQuarantine;
class CapacityQueue;
class ServerConnectionPool;
class ServerHealth;
class ServerLimits;
class ServiceAdmissions;
class SharedRetryBudget;
class StallInquiry;
struct ForwardingView;

/** Dependencies shared by the requests of a traffic thread. All references must outlive them. */
struct ForwardingParts {
  const Clock& clock;
  Logger& logger;
  Metrics& metrics;
  const MessageCodec& codec;
  EngineCalls& engine_calls;
  LoadTracker& loads;
  ServerHealth& health;
  ServerLimits& limits;
  const PathFinder& paths;
  FleetQuotas& quotas;
  RecoveryChooser& recovery;
  MoveChooser& moves;
  MoveCounts& move_counts;
  CapacityQueue& capacity_queue;
  ServiceAdmissions& admissions;
  const DepartureSchedule& departures;
  InterDomainLinkMeter& link_meter;
  const PlainServerChooser& plain_servers;
  SharedRetryBudget& retries;
  ServerConnectionPool& connections;
  StallInquiry& stalls;
  CrashWatch& crashes;
  ReachabilityWatch& reachability;
  PeerChooser& peers;
  RequestQuarantine& quarantine;
  PromptPartWatch& prompt_parts;
  AnswerLengthModel& answer_lengths;
  RandomSource& random;
  FailureDomainName own_failure_domain;
  std::function<std::shared_ptr<const ForwardingView>()> view;

  /** Reports stalled servers to all requests and peers. Servers that fail together are reported in
      one call, so that requests are not moved from one to another. */
  std::function<void(const std::vector<BackendServerName>&)> report_stalled;

  /** Reports that a server's layers differ from the view. */
  std::function<void(const ServerStateReport&)> report_server_state;

  /** Logs the change or removal of a server's limit and reports it to peers. */
  std::function<void(const BackendServerName&)> report_limit;
};

/** Queries the slowdown factor of a server, for path selection. */
void QuerySlowdownFactor(const ForwardingParts& parts, const PathPart& server);

}  // namespace zinnia
