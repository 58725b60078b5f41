#include "zinnia_adapters/engines/engine_channel.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <iterator>
#include <unordered_set>
#include <utility>

#include "zinnia_adapters/engines/channel_listener.h"
#include "zinnia_adapters/engines/side_calls.h"
#include "zinnia_adapters/engines/step_codec.h"
#include "zinnia_decisions/ports/snapshot_source.h"
#include "zinnia_world/fleet/server_rates_report.h"

namespace zinnia {
namespace {

namespace http = boost::beast::http;

constexpr Duration kTellRatesEvery = std::chrono::milliseconds(250);

/** Batch sizes for which rates are told: common sizes of a busy engine. */
constexpr std::uint32_t kFullDecodeBatch = 64;
constexpr std::uint32_t kFullPrefillBatch = 512;

StepStatus StatusOfFailedCall(unsigned http_status) {
  return http_status == 503 || http_status == 429 ? StepStatus::kOverloaded : StepStatus::kRejected;
}

void AnswerStep(const PendingStep& pending, StepStatus status, bool never_sent = false) {
  if (const auto listener = pending.listener.lock()) {
    StepAnswer answer;
    answer.status = status;
    answer.attempt = pending.step.attempt;
    answer.never_sent = never_sent;
    listener->OnStepAnswer(pending.hop, std::move(answer));
  }
}

void AnswerUnsent(const std::vector<PendingStep>& steps) {
  for (const PendingStep& pending : steps) {
    AnswerStep(pending, StepStatus::kServerCrashed, true);
  }
}

std::vector<Fingerprint> FingerprintsOf(const StepBatch& batch) {
  std::vector<Fingerprint> fingerprints = batch.fingerprints;
  for (const PendingStep& pending : batch.steps) {
    fingerprints.push_back(pending.step.fingerprint);
  }
  return fingerprints;
}

InFlightAtCrash InFlightOf(const std::vector<std::shared_ptr<StepBatch>>& batches) {
  std::unordered_set<Fingerprint> alone;
  std::unordered_set<Fingerprint> beside_others;
  for (const auto& batch : batches) {
    const std::vector<Fingerprint> fingerprints = FingerprintsOf(*batch);
    auto& distinct = batch->kind == BatchKind::kIsolated ? alone : beside_others;
    distinct.insert(fingerprints.begin(), fingerprints.end());
  }
  return {{beside_others.begin(), beside_others.end()}, {alone.begin(), alone.end()}};
}

}  // namespace

std::shared_ptr<EngineChannel> EngineChannel::Create(const ChannelParts& parts,
                                                     BackendServerName server) {
  return std::shared_ptr<EngineChannel>(new EngineChannel(parts, std::move(server)));
}

EngineChannel::EngineChannel(const ChannelParts& parts, BackendServerName server)
    : m_parts(parts),
      m_server(std::move(server)),
      m_side(SideCalls::Create(parts, m_server)),
      m_connections(parts, m_server, kMostIdle),
      m_queues{StepQueue(BatchKind::kDecode), StepQueue(BatchKind::kPrefill),
               StepQueue(BatchKind::kIsolated)} {}

bool EngineChannel::IsIdle() const {
  return m_in_flight.empty() && m_late.empty() && m_awaiting_verdict.empty() && !m_probing &&
         std::ranges::all_of(m_queues, &StepQueue::IsEmpty);
}

void EngineChannel::Send(PendingStep step) {
  StepQueue& queue = QueueFor(KindOf(step.step));
  if (queue.IsFull()) {
    boost::asio::post(m_parts.loop, [self = shared_from_this(), step = std::move(step)] {
      AnswerStep(step, StepStatus::kOverloaded);
    });
    return;
  }
  step.queued_at = m_parts.clock.Now();
  queue.Push(std::move(step));
  FlushSoon();
}

void EngineChannel::FlushSoon() {
  if (std::exchange(m_flush_posted, true)) {
    return;
  }
  boost::asio::post(m_parts.loop, [self = shared_from_this()] {
    self->m_flush_posted = false;
    self->Flush();
  });
}

/** An isolated step shows whether its request crashes servers, so the server must have outlived the
    crash that made the request suspect: one that was killed in the same moment takes connections
    until it is gone, and its end would be blamed on the request. It cannot answer a question. */
void EngineChannel::Flush() {
  for (StepQueue& queue : m_queues) {
    while (!m_probing && !queue.IsEmpty() &&
           queue.batches_in_flight < StepQueue::LanesFor(queue.Kind())) {
      const bool is_isolated = queue.Kind() == BatchKind::kIsolated;
      if (is_isolated && !std::exchange(m_has_just_answered, false)) {
        m_asks_for_isolated = true;
        Probe();
        return;
      }
      SendBatch(queue);
    }
  }
}

void EngineChannel::SendBatch(StepQueue& queue) {
  auto [connection, found_stale] = m_connections.Take();
  if (found_stale) {
    m_incarnation = 0;  // What is known of the server is old.
  }
  if (!connection) {
    AnswerAll(queue.TakeAll(), StepStatus::kConnectionLost);
    return;
  }
  LearnIncarnation();
  auto batch = std::make_shared<StepBatch>(queue.TakeBatch());
  batch->sent_at = m_parts.clock.Now();
  batch->connection = std::move(connection);
  batch->deadline =
      m_parts.scheduler.ScheduleAfter(DeadlineFor(batch->kind).DeadlineFor(batch->units),
                                      [weak = weak_from_this(), late = std::weak_ptr(batch)] {
                                        const auto self = weak.lock();
                                        if (const auto missed = late.lock(); self && missed) {
                                          self->OnDeadline(missed);
                                        }
                                      });
  ++queue.batches_in_flight;
  m_in_flight.push_back(batch);

  BackendRequest request(http::verb::post, "/v1/steps", 11);
  request.set(http::field::content_type, "application/json");
  request.body() = EncodeSteps(batch->steps);
  batch->connection->Exchange(std::move(request), StepDeadline::kCap + kLateGrace,
                              [self = shared_from_this(), batch](const ExchangeOutcome& outcome) {
                                self->OnOutcome(batch, outcome);
                              });
}

void EngineChannel::OnDeadline(const BatchPointer& batch) {
  batch->answered = true;
  Forget(batch);
  FreeLane(batch->kind);
  DeadlineFor(batch->kind).ObserveMissed();
  KeepLate(batch);
  MarkSuspect();
  AnswerAll(std::exchange(batch->steps, {}), StepStatus::kTimedOut);
  AnswerAll(QueueFor(batch->kind).TakeOlderThan(batch->sent_at), StepStatus::kTimedOut);
  FlushSoon();
}

void EngineChannel::KeepLate(const BatchPointer& batch) {
  batch->fingerprints = FingerprintsOf(*batch);
  m_late.push_back(batch);
  if (m_late.size() > kMostLateBatches) {
    const BatchPointer oldest = m_late.front();
    m_late.erase(m_late.begin());
    oldest->connection->Close();
  }
}

void EngineChannel::OnOutcome(const BatchPointer& batch, const ExchangeOutcome& outcome) {
  if (batch->answered) {
    OnLateOutcome(batch, outcome);
  } else if (outcome.failure == ExchangeFailure::kNone) {
    batch->deadline.reset();
    Forget(batch);
    FreeLane(batch->kind);
    OnResponse(batch, outcome.response);
  } else {
    OnBroken(batch, outcome.failure);
  }
}

void EngineChannel::OnResponse(const BatchPointer& batch, const BackendResponse& response) {
  DeadlineFor(batch->kind).Observe(m_parts.clock.Now() - batch->sent_at, batch->units);
  m_connections.Keep(batch->connection);
  MarkRecovered();
  FlushSoon();
  const TimePoint last_answer = std::exchange(m_answered_at, m_parts.clock.Now());
  if (response.result_int() != 200) {
    AnswerAll(batch->steps, StatusOfFailedCall(response.result_int()));
    return;
  }
  auto decoded = DecodeAnswers(response.body(), batch->steps.size());
  if (!decoded) {
    AnswerAll(batch->steps, StepStatus::kRejected);
    return;
  }
  const std::uint32_t running = decoded->running;
  const std::uint32_t queued = decoded->queued;
  DeliverAnswers(batch, std::move(*decoded));
  // After the answers: a report wakes the control thread, and tokens need not wait for that.
  m_parts.listener.OnServerLoad(m_server, running, queued);
  MeasureBatch(*batch, last_answer);
}

void EngineChannel::MeasureBatch(const StepBatch& batch, TimePoint last_answer) {
  // An engine runs one batch after the other: a batch that was sent while another ran has waited
  // for that one first. Counted from its sending it would seem to take twice as long.
  const Duration took = m_answered_at - std::max(batch.sent_at, last_answer);
  if (batch.kind == BatchKind::kDecode) {
    m_decode_times.Observe(took, static_cast<std::uint32_t>(batch.steps.size()));
  } else if (batch.kind == BatchKind::kPrefill) {
    m_prefill_times.Observe(took, batch.units);
  }
  if (m_answered_at - m_rates_told_at >= kTellRatesEvery) {
    m_rates_told_at = m_answered_at;
    TellRates();
  }
}

void EngineChannel::TellRates() {
  ServerRatesReport rates;
  rates.step_time_p50 = m_decode_deadline.Quantile(0.50);
  rates.step_time_p99 = m_decode_deadline.Quantile(0.99);
  rates.decode_tokens_per_second = m_decode_times.UnitsPerSecond(kFullDecodeBatch);
  rates.prefill_tokens_per_second = m_prefill_times.UnitsPerSecond(kFullPrefillBatch);
  if (const auto line = m_decode_times.Fit()) {
    rates.empty_step_time =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(line->base_seconds));
  }
  m_parts.listener.OnServerRates(m_server, rates);
}

void EngineChannel::OnLateOutcome(const BatchPointer& batch, const ExchangeOutcome& outcome) {
  if (std::erase(m_late, batch) == 0) {
    return;  // closed by this channel
  }
  if (outcome.failure == ExchangeFailure::kNone) {
    m_connections.Keep(batch->connection);
    MarkRecovered();
  } else if (outcome.failure == ExchangeFailure::kLost) {
    // A request that first hangs the server and then kills it is to blame for the crash too.
    m_awaiting_verdict.push_back(batch);
    Probe();
  }
}

void EngineChannel::DeliverAnswers(const BatchPointer& batch, DecodedAnswers decoded) {
  const bool leaving = std::ranges::any_of(decoded.answers, [](const StepAnswer& answer) {
    return answer.status == StepStatus::kLeaving;
  });
  if (leaving) {
    m_parts.listener.OnServerLeaving(m_server);
  }
  for (std::size_t index = 0; index < batch->steps.size(); ++index) {
    const PendingStep& pending = batch->steps[index];
    if (const auto listener = pending.listener.lock()) {
      listener->OnStepAnswer(pending.hop, std::move(decoded.answers[index]));
    }
  }
}

void EngineChannel::OnBroken(const BatchPointer& batch, ExchangeFailure failure) {
  batch->deadline.reset();
  Forget(batch);
  FreeLane(batch->kind);
  MarkSuspect();
  if (failure == ExchangeFailure::kUnreachable) {
    AnswerAll(batch->steps, StepStatus::kConnectionLost);
    FlushSoon();
    return;
  }
  if (failure == ExchangeFailure::kRefused) {
    // Nothing of this batch was sent, so its requests cannot be what crashed the server.
    const std::vector<PendingStep> steps = std::exchange(batch->steps, {});
    DeclareCrashed();
    AnswerUnsent(steps);
    return;
  }
  m_awaiting_verdict.push_back(batch);
  Probe();
}

void EngineChannel::Probe() {
  if (!std::exchange(m_probing, true)) {
    m_cut_probes = 0;
    SendProbe();
  }
}

void EngineChannel::SendProbe() {
  m_side->ReadIncarnation(kProbeTimeout, [self = shared_from_this()](ExchangeFailure failure,
                                                                     std::uint64_t incarnation) {
    self->OnProbed(failure, incarnation);
  });
}

void EngineChannel::OnProbed(ExchangeFailure failure, std::uint64_t incarnation) {
  // A process that is going down still takes a connection for a moment, and then cuts it. Taken for
  // a verdict, that is a lost connection: the request which crashed the server is not blamed, and
  // goes on to crash the next one.
  const bool is_cut = failure == ExchangeFailure::kLost || failure == ExchangeFailure::kUnreachable;
  StepQueue& isolated = QueueFor(BatchKind::kIsolated);
  const bool is_awaited = !m_awaiting_verdict.empty() || !isolated.IsEmpty();
  if (is_cut && is_awaited && m_cut_probes < kMostCutProbes) {
    ++m_cut_probes;
    m_probe_again = m_parts.scheduler.ScheduleAfter(kProbeAgainAfter, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->SendProbe();
      }
    });
    return;
  }
  m_probing = false;
  // A question asked before the step came may have been answered before the server was killed.
  const bool asked_for_isolated = std::exchange(m_asks_for_isolated, false);
  if (!is_awaited) {
    FlushSoon();  // a refused connection gave the verdict before the probe did
    return;
  }
  const bool restarted =
      failure == ExchangeFailure::kNone && m_incarnation != 0 && incarnation != m_incarnation;
  if (failure == ExchangeFailure::kRefused || restarted) {
    DeclareCrashed();
    return;
  }
  if (failure == ExchangeFailure::kNone) {
    m_incarnation = incarnation;
    m_has_just_answered = asked_for_isolated;
  } else {
    AnswerAll(isolated.TakeAll(), StepStatus::kConnectionLost);
  }
  DeclareConnectionLost();
}

void EngineChannel::DeclareCrashed() {
  std::vector<BatchPointer> blamed = std::exchange(m_awaiting_verdict, {});
  std::ranges::move(std::exchange(m_late, {}), std::back_inserter(blamed));
  std::vector<PendingStep> unsent;
  for (const BatchPointer& batch : std::exchange(m_in_flight, {})) {
    batch->answered = true;
    batch->deadline.reset();
    FreeLane(batch->kind);
    // A batch whose connection is not up yet was not sent: it is answered but not blamed.
    if (batch->connection->IsConnected()) {
      blamed.push_back(batch);
    } else {
      std::ranges::move(batch->steps, std::back_inserter(unsent));
    }
    batch->connection->Close();
  }
  InFlightAtCrash in_flight = InFlightOf(blamed);
  std::vector<PendingStep> steps;
  for (const BatchPointer& batch : blamed) {
    std::ranges::move(batch->steps, std::back_inserter(steps));
    batch->connection->Close();
  }
  m_connections.Clear();
  for (StepQueue& queue : m_queues) {
    std::ranges::move(queue.TakeAll(), std::back_inserter(unsent));
  }
  // Whoever comes back under this name may be another machine.
  m_decode_times = {};
  m_prefill_times = {};
  const bool blames_some = !in_flight.beside_others.empty() || !in_flight.alone.empty();
  const bool news = !std::exchange(m_down, true) || blames_some;
  const std::uint64_t incarnation = std::exchange(m_incarnation, 0);
  if (news) {
    m_parts.listener.OnServerCrashed(m_server, incarnation, std::move(in_flight));
  }
  AnswerAll(steps, StepStatus::kServerCrashed);
  AnswerUnsent(unsent);
}

void EngineChannel::DeclareConnectionLost() {
  for (const BatchPointer& batch : std::exchange(m_awaiting_verdict, {})) {
    AnswerAll(batch->steps, StepStatus::kConnectionLost);
  }
  FlushSoon();
}

void EngineChannel::LearnIncarnation() {
  if (m_incarnation != 0 || std::exchange(m_learning, true)) {
    return;
  }
  m_side->ReadIncarnation(kProbeTimeout, [self = shared_from_this()](ExchangeFailure failure,
                                                                     std::uint64_t incarnation) {
    self->m_learning = false;
    if (failure == ExchangeFailure::kNone && self->m_incarnation == 0 && !self->m_probing) {
      self->m_incarnation = incarnation;
    }
  });
}

void EngineChannel::Forget(const BatchPointer& batch) {
  std::erase(m_in_flight, batch);
}

void EngineChannel::FreeLane(BatchKind kind) {
  --QueueFor(kind).batches_in_flight;
}

void EngineChannel::AnswerAll(const std::vector<PendingStep>& steps, StepStatus status) {
  for (const PendingStep& pending : steps) {
    AnswerStep(pending, status);
  }
}

void EngineChannel::MarkSuspect() {
  if (!std::exchange(m_suspect, true)) {
    m_parts.listener.OnServerSuspect(m_server);
  }
}

void EngineChannel::MarkRecovered() {
  m_down = false;
  if (std::exchange(m_suspect, false)) {
    m_parts.listener.OnServerRecovered(m_server);
  }
}

StepDeadline& EngineChannel::DeadlineFor(BatchKind kind) {
  return kind == BatchKind::kDecode ? m_decode_deadline : m_prefill_deadline;
}

}  // namespace zinnia
