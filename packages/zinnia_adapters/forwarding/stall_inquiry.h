#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "zinnia_adapters/forwarding/engine_calls.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Asks first servers which servers behind them are stalled, once for all requests that want to
    know: when a stage dies, dozens of streams fall silent together, and each call is priced. */
class StallInquiry {
 public:
  using Callback = std::function<void(const Result<EngineReport>&)>;

  StallInquiry(EngineCalls& calls, const Clock& clock) : m_calls(calls), m_clock(clock) {}

  void Ask(const PathPart& first, Callback callback);

  using OnDead = std::function<void(const std::vector<BackendServerName>&)>;

  /** Probes servers that the events of streams make suspect, and names those that are dead, all of
      a round together. `other_streams_active`: see ProbeRound. */
  void Check(const std::vector<PathPart>& suspects,
             bool other_streams_active,
             const OnDead& on_dead);

  /** Asks a server that refused a request, or that another one refused it for: it may be full, out
      of reach, or about to leave. Of a server that takes requests by its own word it says nothing.
   */
  void Confirm(const PathPart& accused,
               const std::string& health_path,
               const std::function<void(const BackendServerName&)>& on_dead,
               const std::function<void(const BackendServerName&)>& on_leaving);

 private:
  /** Whether the server was not probed lately; notes that it is now. */
  bool TakeProbe(const BackendServerName& server);

  /** A report is this old at most when it is used again. */
  static constexpr Duration kReportLifetime = std::chrono::milliseconds(60);

  struct Inquiry {
    bool in_flight = false;
    TimePoint answered_at{};
    Result<EngineReport> report = EngineReport();
    std::vector<Callback> waiting;
  };

  /** The same suspects are not probed again before this. */
  static constexpr Duration kProbeAgainAfter = std::chrono::milliseconds(100);

  EngineCalls& m_calls;
  const Clock& m_clock;
  std::map<BackendServerName, Inquiry> m_inquiries;
  std::map<BackendServerName, TimePoint> m_probed_at;
};

}  // namespace zinnia
