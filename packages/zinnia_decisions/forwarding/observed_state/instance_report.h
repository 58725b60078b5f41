#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_decisions/forwarding/costs/answer_length_report.h"
#include "zinnia_decisions/forwarding/crashes/crash_report.h"
#include "zinnia_decisions/forwarding/limits/server_limit_report.h"
#include "zinnia_decisions/forwarding/observed_state/load_tracker.h"
#include "zinnia_decisions/forwarding/observed_state/server_state_report.h"
#include "zinnia_decisions/forwarding/observed_state/slowdown_report.h"
#include "zinnia_decisions/ports/store_revision.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** A server that stopped making progress, and the time since this was detected. */
struct StallReport {
  BackendServerName server;
  std::chrono::milliseconds age{0};
};

/** The state that an instance sends to its peers several times a second. */
struct InstanceReport {
  Instance instance;

  /** The revision of the sender's store mirror. The default: not filled yet. */
  StoreRevision revision;

  /** The sender's requests in flight, for the relays of its failure domain. */
  LoadTracker::Uses uses;

  /** From a relay to a member: the sum over the other members of the domain, and periodically the
      sums over other domains. To relays of other domains: the sum over the sender's domain. */
  std::map<FailureDomainName, LoadTracker::Uses> domain_uses;
  std::vector<StallReport> stalls;
  std::vector<SlowdownReport> slow_servers;
  std::vector<ServerLimitReport> server_limits;

  /** Requests and parts of prompts that were in flight at recent crashes of servers. */
  std::vector<CrashReport> crashes;

  /** What the sender refuses because it crashes servers. */
  std::vector<QuarantineReport> quarantines;

  /** Suspects that turned out well somewhere although something spoke against them. */
  std::vector<ClearedRequest> cleared_requests;

  /** Recent statements of servers that did not come from the store. */
  std::vector<ServerStateReport> server_states;

  /** Some of what is known of the lengths of answers; empty without prioritized services. */
  AnswerLengthReport answer_lengths;

  /** Upper bound on the time since the store responded to some watcher, however many relays
     forwarded it. Empty if none is known. A watcher that would claim contact until its watch has
     failed would hide a silent store for as long. */
  std::optional<std::chrono::milliseconds> store_watcher_age;

  /** The same for an instance whose store calls have all succeeded for long enough that lapsed
      records would have been written again. */
  std::optional<std::chrono::milliseconds> stable_store_age;

  /** The same for an instance that the store has served without an outage for so long. Single calls
      that fail are none, and an instance that has just started has not seen the time before. */
  std::optional<std::chrono::milliseconds> settled_store_age;

  /** Whether the response should contain the store records that the sender lacks. */
  bool wants_records = false;

  /** The sender is about to stop. */
  bool leaving = false;
};

}  // namespace zinnia
