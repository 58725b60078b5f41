#pragma once

namespace zinnia {

class Clock;
class DecisionRecorder;
class MembershipView;
class PeerTransport;
class PlatformStore;
class Scheduler;

/** The objects that the at-most-once protocol works with. All must outlive it. */
struct OnceParts {
  Clock& clock;
  Scheduler& scheduler;
  PlatformStore& store;
  PeerTransport& peers;
  MembershipView& membership;
  DecisionRecorder& recorder;
};

}  // namespace zinnia
