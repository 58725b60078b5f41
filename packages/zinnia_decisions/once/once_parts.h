#pragma once

namespace zinnia {

class Clock;
class DecisionRecorder;
class MembershipView;
class PeerTransport;
class PlatformStore;
class Scheduler;

/** The dependencies of the at-most-once protocol. All must outlive it. */
struct OnceParts {
  Clock& clock;
  Scheduler& scheduler;
  PlatformStore& store;
  PeerTransport& peers;
  MembershipView& membership;
  DecisionRecorder& recorder;
};

}  // namespace zinnia
