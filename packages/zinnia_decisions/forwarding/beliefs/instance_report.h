#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_decisions/forwarding/beliefs/load_tracker.h"
#include "zinnia_decisions/forwarding/beliefs/server_state_report.h"
#include "zinnia_decisions/forwarding/beliefs/slowdown_report.h"
#include "zinnia_decisions/forwarding/limits/server_limit_news.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** A server that did not go on, and how long ago that was seen. */
struct StallReport {
  BackendServerName server;
  std::chrono::milliseconds age{0};
};

/** What an instance tells a peer a few times a second. */
struct InstanceReport {
  Instance instance;

  /** How far it knows the store's records. */
  std::uint64_t revision = 0;

  /** What this instance has in flight; for the relays of its failure domain. */
  LoadTracker::Uses uses;

  /** From a relay to a member of its domain: the sum over the domain's other members, and now and
      then the sums over other domains. To relays of other domains: the sum over its own. */
  std::map<FailureDomainName, LoadTracker::Uses> domain_uses;
  std::vector<StallReport> stalls;
  std::vector<SlowdownReport> slow_servers;
  std::vector<ServerLimitNews> server_limits;

  /** Heard from servers lately, not from the store. */
  std::vector<ServerStateReport> server_states;

  /** How long ago, at most, some instance was reading the store; over how many ways the word of it
      came plays no part. 0 from a reader that is in contact. Nothing: none is known. */
  std::optional<std::chrono::milliseconds> store_watcher_age;

  /** The same of an instance that the store has answered without a failure for longer than lapsed
      entries need to return. */
  std::optional<std::chrono::milliseconds> stable_store_age;

  /** Whether the answer shall hold the store's records that the sender lacks. */
  bool wants_records = false;

  /** It is about to stop. */
  bool leaving = false;
};

}  // namespace zinnia
