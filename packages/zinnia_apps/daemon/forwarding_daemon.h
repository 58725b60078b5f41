#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "zinnia_adapters/metrics/histogram_metrics.h"
#include "zinnia_adapters/operators/decision_log.h"
#include "zinnia_adapters/settings/forwarding_settings.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/observed_state/report_exchange.h"

namespace zinnia {

class ControlThread;
class ForwardingControl;
class ForwardingTraffic;
class HttpClient;
class ReportClient;
class ReportServer;
class StandardOutputLogger;
class TextServer;
class TrafficThread;
struct ForwardingView;

/** A running instance on a platform that has a store, a balancer and engines with paths of their
    own: one control thread, one traffic thread.

    The composition root: the only place that knows which platform it is. For a planned stop call
    BeginDrain, some seconds later StopAccepting, and Stop when InFlight is empty. Used from the
   main thread only.
*/
class ForwardingDaemon final : private ReportSink {
 public:
  /** Fails with kInvalidSettings. */
  static Result<std::unique_ptr<ForwardingDaemon>> Create(ForwardingSettings settings,
                                                          Clock& clock,
                                                          StandardOutputLogger& logger);
  ~ForwardingDaemon() override;

  /** From now on not ready; requests that still come are served. */
  void BeginDrain();

  /** `time_left`: until AnswerRest, by which what is read from now on must end. */
  void StopAccepting(Duration time_left);

  /** Gives callers whose requests will not end in time their final answers. */
  void AnswerRest();
  std::vector<std::string> InFlight();
  void Stop();

  /** Takes over what may change while it runs: the retry budget. */
  void Reload(const ForwardingSettings& settings);

 private:
  ForwardingDaemon(ForwardingSettings settings, Clock& clock, StandardOutputLogger& logger);
  void StartTraffic();
  Result<void> StartControl();
  void ListenForTexts();
  void ScheduleUpkeep();
  void Upkeep();

  void OnDomainUses(const FailureDomainName& domain, LoadTracker::Uses uses) override;
  void OnPeerStalls(const std::vector<StallReport>& stalls) override;
  void OnPeerServerState(const ServerStateReport& news) override;
  void OnPeerServerLimits(const std::vector<ServerLimitReport>& limits) override;
  void OnPeerSlowdowns(const std::vector<SlowdownReport>& slow_servers) override;
  void OnPeerCrashes(const std::vector<CrashReport>& crashes) override;
  void OnPeerQuarantines(const std::vector<QuarantineReport>& quarantines) override;
  void OnPeerCleared(const std::vector<ClearedRequest>& requests) override;
  void OnPeerAnswerLengths(const std::vector<AnswerLengthRow>& rows) override;

  struct PlatformParts;

  const ForwardingSettings m_settings;
  Clock& m_clock;
  StandardOutputLogger& m_logger;
  HistogramMetrics m_metrics;
  DecisionLog m_decisions;
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_knows_rules{false};
  bool m_stopped = false;

  std::unique_ptr<TrafficThread> m_traffic_thread;
  std::unique_ptr<ControlThread> m_control_thread;
  std::unique_ptr<PlatformParts> m_platform;
  std::unique_ptr<ForwardingTraffic> m_traffic;
  std::unique_ptr<TextServer> m_readiness;
  std::unique_ptr<TextServer> m_metrics_server;
  std::unique_ptr<ScheduledCall> m_upkeep;
  std::unique_ptr<ReportClient> m_report_client;
  std::unique_ptr<ForwardingControl> m_control;
  std::unique_ptr<ReportServer> m_report_server;
};

}  // namespace zinnia
