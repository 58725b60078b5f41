#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "zinnia_adapters/engines/batch_times.h"
#include "zinnia_adapters/engines/channel_parts.h"
#include "zinnia_adapters/engines/engine_connections.h"
#include "zinnia_adapters/engines/pending_step.h"
#include "zinnia_adapters/engines/step_batch.h"
#include "zinnia_adapters/engines/step_deadline.h"
#include "zinnia_adapters/engines/step_queue.h"
#include "zinnia_adapters/http/backend_connection.h"

namespace zinnia {

class SideCalls;
struct DecodedAnswers;

/** The steps of many sessions towards one engine, batched continuously.

    While a request is in flight the next batch gathers; a step that finds a free lane goes with all
    others that came in the same turn of the loop. Every step gets exactly one answer:

    - the engine's own;
    - kTimedOut when the learned deadline passes (the late response is read and dropped, its
      connection closed after kLateGrace);
    - kServerCrashed or kConnectionLost when the connection breaks. A broken connection alone does
      not tell which: GET /v1/state refused, or another incarnation, means a crash. Until the
      verdict nothing is sent, so that no further request is blamed for the crash;
    - kOverloaded at once when the queue is full.

    @see HttpStageLinks, ChannelListener, StepDeadline
*/
class EngineChannel : public std::enable_shared_from_this<EngineChannel> {
 public:
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
  static constexpr Duration kProbeAgainAfter = std::chrono::milliseconds(5);
  static constexpr std::uint32_t kMostCutProbes = 40;
  static constexpr Duration kLateGrace = std::chrono::seconds(20);
  static constexpr std::size_t kMostLateBatches = 4;
  static constexpr std::size_t kMostIdle = 4;

  static std::shared_ptr<EngineChannel> Create(const ChannelParts& parts, BackendServerName server);

  void Send(PendingStep step);
  SideCalls& Side() { return *m_side; }

  /** Whether it has no steps. An idle channel may be dropped; side calls finish without it. */
  bool IsIdle() const;

 private:
  using BatchPointer = std::shared_ptr<StepBatch>;

  EngineChannel(const ChannelParts& parts, BackendServerName server);

  void FlushSoon();
  void Flush();
  void SendBatch(StepQueue& queue);

  void OnDeadline(const BatchPointer& batch);
  void KeepLate(const BatchPointer& batch);
  void OnOutcome(const BatchPointer& batch, const ExchangeOutcome& outcome);
  void OnResponse(const BatchPointer& batch, const BackendResponse& response);
  void OnLateOutcome(const BatchPointer& batch, const ExchangeOutcome& outcome);
  void MeasureBatch(const StepBatch& batch, TimePoint last_answer);
  void TellRates();
  void DeliverAnswers(const BatchPointer& batch, DecodedAnswers decoded);
  void OnBroken(const BatchPointer& batch, ExchangeFailure failure);

  void Probe();
  void SendProbe();
  void OnProbed(ExchangeFailure failure, std::uint64_t incarnation);
  void DeclareCrashed();
  void DeclareConnectionLost();
  void LearnIncarnation();

  void Forget(const BatchPointer& batch);
  void FreeLane(BatchKind kind);
  void AnswerAll(const std::vector<PendingStep>& steps, StepStatus status);
  void MarkSuspect();
  void MarkRecovered();
  StepQueue& QueueFor(BatchKind kind) { return m_queues[static_cast<std::size_t>(kind)]; }
  StepDeadline& DeadlineFor(BatchKind kind);

  const ChannelParts m_parts;
  const BackendServerName m_server;
  const std::shared_ptr<SideCalls> m_side;
  EngineConnections m_connections;
  std::vector<StepQueue> m_queues;
  StepDeadline m_decode_deadline;
  StepDeadline m_prefill_deadline;
  BatchTimes m_decode_times;
  BatchTimes m_prefill_times;
  TimePoint m_answered_at{};
  TimePoint m_rates_told_at{};
  std::vector<BatchPointer> m_in_flight;
  std::vector<BatchPointer> m_late;
  std::vector<BatchPointer> m_awaiting_verdict;
  std::unique_ptr<ScheduledCall> m_probe_again;
  std::uint32_t m_cut_probes = 0;
  std::uint64_t m_incarnation = 0;
  bool m_flush_posted = false;
  bool m_asks_for_isolated = false;  // The present question.
  bool m_has_just_answered = false;  // That question; lets one isolated batch go.
  bool m_probing = false;
  bool m_learning = false;
  bool m_suspect = false;
  bool m_down = false;
};

}  // namespace zinnia
