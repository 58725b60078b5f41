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

/** Rumour: what is said of an instance. A higher incarnation wins; at the same one, the higher
    state. Only the instance itself raises its incarnation. */
struct MemberRumour {
  Instance instance;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  bool operator==(const MemberRumour&) const = default;
};

/** Rumour: a backend server (that incarnation of it) is leaving. Never taken back. */
struct LeavingRumour {
  BackendServerName server;
  std::uint64_t incarnation = 0;
  bool operator==(const LeavingRumour&) const = default;
};

/** Rumour: a backend server crashed while it ran requests with these fingerprints. */
struct CrashRumour {
  BackendServerName server;
  std::uint64_t incarnation = 0;
  std::vector<Fingerprint> fingerprints;
  std::uint32_t age_ms = 0;

  /** @see InFlightAtCrash::alone */
  bool alone = false;
  bool operator==(const CrashRumour&) const = default;
};

/** Rumour: a change of the configuration, small enough for a datagram. */
struct ConfigurationRumour {
  ConfigurationDelta delta;
  bool operator==(const ConfigurationRumour&) const = default;
};

using Rumour = std::variant<MemberRumour, LeavingRumour, CrashRumour, ConfigurationRumour>;

enum class ProbeKind { kPing, kPingRequest, kAck };

/** A datagram between instances: failure detection, with rumours riding along. `target` is who is
   to be pinged for the sender (kPingRequest) or whom an ack speaks for. */
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

/** A recorded answer of a non-idempotent request, kept for callers who repeat the key. */
struct RecordedAnswer {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  bool body_dropped = false;
  bool operator==(const RecordedAnswer&) const = default;
};

/** The holder's decision. kGranted: durable, dispatch now and only now, within `valid_for`.
    kAnswered: it ran, here is the answer. kStarted: somebody was granted it before and no answer is
    recorded: its outcome is unknown. kKeyReused: the key stands for another request. */
struct IntentReply {
  IntentVerdict verdict = IntentVerdict::kStarted;
  std::uint64_t epoch = 0;
  std::optional<RecordedAnswer> answer;
  std::uint32_t valid_for_ms = 0;
  bool operator==(const IntentReply&) const = default;
};

/** Reports the outcome of a granted intent. Without an answer the grant was not used and certainly
    nothing was dispatched, so that the key is free again. */
struct IntentOutcome {
  std::uint32_t partition = 0;
  OrganisationName organisation;
  std::string key;
  std::string request_id;
  std::optional<RecordedAnswer> answer;
  bool operator==(const IntentOutcome&) const = default;
};

}  // namespace zinnia
