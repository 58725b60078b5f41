#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia_adapters/metrics/histogram_metrics.h"
#include "zinnia_adapters/operators/decision_log.h"
#include "zinnia_adapters/operators/readiness_probe.h"
#include "zinnia_adapters/settings/instance_settings.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/control/instance_control.h"
#include "zinnia_decisions/sessions/session_driver.h"

namespace zinnia {

class ControlSide;
class ControlThread;
class DaemonOperatorDesk;
class Logger;
class OperatorServer;
class ResumeTokenCodec;
class SuspectClaims;
class TrafficSide;
class TrafficThread;

/** A running instance: one control thread, some traffic threads, one thread for operators.

    Create starts everything. For a planned stop call BeginDrain, wait until InFlight is empty, then
    Stop. Used from the main thread only.
*/
class Daemon final : private ReadinessProbe, private SnapshotListener {
 public:
  /** Fails with kInvalidSettings. `clock` and `logger` must outlive the daemon. */
  static Result<std::unique_ptr<Daemon>> Create(InstanceSettings settings,
                                                Clock& clock,
                                                Logger& logger);
  ~Daemon() override;

  /** From now on not ready; new requests are refused as not run, those in flight go on. */
  void BeginDrain();

  /** What is still in flight, a line each; empty when nothing is. */
  std::vector<std::string> InFlight();

  /** Cuts off what is in flight, hands over roles, and ends all threads. */
  void Stop();

 private:
  struct Secrets;
  struct TrafficLane;

  Daemon(InstanceSettings settings, const Secrets& secrets, Clock& clock, Logger& logger);
  static Result<Secrets> ReadSecrets(const InstanceSettings& settings);
  Result<void> StartControl(const std::string& cluster_secret);
  void StartTraffic();
  std::function<void(std::string_view reason)> ReportTrafficFailure();
  void StartOperators(const std::string& operator_key);
  void WatchSnapshots();
  void CollectSessions(const std::function<void(std::vector<SessionStatus>)>& callback);
  std::vector<std::string> NotReadyReasons() const;
  void HandOver();

  Result<void> CheckReady() const override;
  void OnSnapshot(std::shared_ptr<const FleetSnapshot> snapshot) override;

  const InstanceSettings m_settings;
  const std::uint64_t m_start;
  Clock& m_clock;
  Logger& m_logger;
  HistogramMetrics m_metrics;
  DecisionLog m_decisions;
  std::unique_ptr<ResumeTokenCodec> m_resume_tokens;
  std::unique_ptr<SuspectClaims> m_suspect_claims;
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_control_ready{false};
  bool m_stopped = false;

  std::unique_ptr<ControlThread> m_control_thread;
  std::unique_ptr<ControlSide> m_control;
  std::vector<std::unique_ptr<TrafficLane>> m_lanes;
  std::unique_ptr<TrafficThread> m_operators_thread;
  std::unique_ptr<DaemonOperatorDesk> m_desk;
  std::unique_ptr<OperatorServer> m_operator_server;
};

}  // namespace zinnia
