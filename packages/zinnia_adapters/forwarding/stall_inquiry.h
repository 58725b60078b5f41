#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "zinnia_adapters/forwarding/engine_calls.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Queries first servers for stalled servers on their paths. Concurrent queries to one server share
    a call, since many streams fall silent together when a stage dies. */
class StallInquiry {
 public:
  using Callback = std::function<void(const Result<EngineReport>&)>;

  StallInquiry(EngineCalls& calls, const Clock& clock) : m_calls(calls), m_clock(clock) {}

  void Ask(const PathPart& first, Callback callback);

  using OnSilent = std::function<void(const BackendServerName&)>;
  using OnDead = std::function<void(const std::vector<BackendServerName>&)>;

  /** Probes suspect servers. Reports each one that does not answer, and in one call those of a
      round that are dead. `other_streams_active`: see ProbeRound. */
  void Check(const std::vector<PathPart>& suspects,
             bool other_streams_active,
             const OnSilent& on_silent,
             const OnDead& on_dead);

  /** Checks the health of a server named in a refusal and reports whether it is dead or draining.
      Calls neither callback if the server accepts requests. */
  void Confirm(const PathPart& accused,
               const std::string& health_path,
               const std::function<void(const BackendServerName&)>& on_dead,
               const std::function<void(const BackendServerName&)>& on_draining);

 private:
  /** Returns true and records a probe if the server was not probed recently. */
  bool TryBeginProbe(const BackendServerName& server);

  /** Maximum age of a reused report. */
  static constexpr Duration kReportLifetime = std::chrono::milliseconds(60);

  struct Inquiry {
    bool in_flight = false;
    TimePoint answered_at{};
    Result<EngineReport> report = EngineReport();
    std::vector<Callback> waiting;
  };

  /** Minimum interval between probes of one server. */
  static constexpr Duration kProbeAgainAfter = std::chrono::milliseconds(100);

  EngineCalls& m_calls;
  const Clock& m_clock;
  std::map<BackendServerName, Inquiry> m_inquiries;
  std::map<BackendServerName, TimePoint> m_probed_at;
};

}  // namespace zinnia
