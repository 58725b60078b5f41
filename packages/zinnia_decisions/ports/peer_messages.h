#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "zinnia_base/errors/error.h"
#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_world/configuration/configuration_delta.h"
#include "zinnia_world/fleet/backend_server.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

enum class MemberState { kAlive, kSuspect, kDead, kLeft };

std::string_view NameOf(MemberState state);

/** Gossip about an instance's state. The higher incarnation wins; at equal incarnations, the higher
    state. Only the instance itself increments its incarnation. */
struct MemberRumour {
  Instance instance;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  bool operator==(const MemberRumour&) const = default;
};

/** Gossip that this incarnation of a backend server is leaving. Never retracted. */
struct LeavingRumour {
  BackendServerName server;
  std::uint64_t incarnation = 0;
  bool operator==(const LeavingRumour&) const = default;
};

/** Gossip that a backend server crashed while running requests with these fingerprints. */
struct CrashRumour {
  BackendServerName server;
  std::uint64_t incarnation = 0;
  std::vector<Fingerprint> fingerprints;
  std::uint32_t age_ms = 0;

  /** @see InFlightAtCrash::alone */
  bool alone = false;
  bool operator==(const CrashRumour&) const = default;
};

/** Gossip of a configuration change that fits into a datagram. */
struct ConfigurationRumour {
  ConfigurationDelta delta;
  bool operator==(const ConfigurationRumour&) const = default;
};

using Rumour = std::variant<MemberRumour, LeavingRumour, CrashRumour, ConfigurationRumour>;

enum class ProbeKind { kPing, kPingRequest, kAck };

/** A failure detection datagram between instances, with piggybacked rumours. `target` is the
    instance to ping on behalf of the sender (kPingRequest) or the one that an ack is for. */
struct ProbeMessage {
  ProbeKind kind = ProbeKind::kPing;
  std::uint64_t sequence = 0;
  Instance sender;
  std::uint64_t sender_incarnation = 0;
  std::optional<Instance> target;
  ConfigurationRevision revision = 0;
  std::vector<Rumour> rumours;
  bool operator==(const ProbeMessage&) const = default;
};

/** Asks a partition's holder to make an intent durable before the request is dispatched. */
struct IntentRequest {
  std::uint32_t partition = 0;
  OrganisationName organisation;
  std::string key;
  Fingerprint request;
  InstanceName asking_instance;
  std::string request_id;
  bool operator==(const IntentRequest&) const = default;
};

enum class IntentVerdict { kGranted, kAnswered, kStarted, kKeyReused };

std::string_view NameOf(IntentVerdict verdict);

/** The recorded response to a non-idempotent request, returned to clients that repeat the key. */
struct RecordedAnswer {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  bool body_dropped = false;
  bool operator==(const RecordedAnswer&) const = default;
};

/** The holder's decision. kGranted: the intent is durable; dispatch within `valid_for_ms` or not at
    all. kAnswered: the request ran; `answer` holds the response. kStarted: the intent was granted
    before and no response is recorded, so its outcome is unknown. kKeyReused: the key belongs to a
    different request. */
struct IntentReply {
  IntentVerdict verdict = IntentVerdict::kStarted;
  std::uint64_t epoch = 0;
  std::optional<RecordedAnswer> answer;
  std::uint32_t valid_for_ms = 0;
  bool operator==(const IntentReply&) const = default;
};

/** Reports the outcome of a granted intent. No answer means that nothing was dispatched, so that
   the key can be used again. */
struct IntentOutcome {
  std::uint32_t partition = 0;
  OrganisationName organisation;
  std::string key;
  std::string request_id;
  std::optional<RecordedAnswer> answer;
  bool operator==(const IntentOutcome&) const = default;
};

}  // namespace zinnia
