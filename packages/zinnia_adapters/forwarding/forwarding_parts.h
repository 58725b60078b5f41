#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/forwarding/observed_state/server_state_report.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class Clock;
class DepartureSchedule;
class EngineCalls;
class LoadTracker;
class Logger;
class MessageCodec;
class Metrics;
class PathFinder;
class InterDomainLinkMeter;
class PlainServerChooser;
class RecoveryChooser;
class CapacityQueue;
class ServerConnectionPool;
class ServerHealth;
class ServerLimits;
class SharedRetryBudget;
class StallInquiry;
struct ForwardingView;

/** What the requests of one traffic thread share. All references must outlive the requests. */
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
  RecoveryChooser& recovery;
  CapacityQueue& capacity_queue;
  const DepartureSchedule& departures;
  InterDomainLinkMeter& link_meter;
  const PlainServerChooser& plain_servers;
  SharedRetryBudget& retries;
  ServerConnectionPool& connections;
  StallInquiry& stalls;
  RandomSource& random;
  FailureDomainName own_failure_domain;
  std::function<std::shared_ptr<const ForwardingView>()> view;

  /** Tells all requests, and later all peers, that servers do not go on. Those that were lost
      together are told together: told one by one, requests would be moved from one to the next. */
  std::function<void(const std::vector<BackendServerName>&)> report_stalled;

  /** A server's layers are not what the view has. */
  std::function<void(const ServerStateReport&)> report_server_news;

  /** A server named another limit than it had, or none: logs it and tells peers. */
  std::function<void(const BackendServerName&)> report_limit;
};

/** Asks a server how slow it is, for the choice of paths. */
void AskForPace(const ForwardingParts& parts, const PathPart& server);

}  // namespace zinnia
