#include "bench/recovery_core/driver_cost.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/sessions/session_world.h"
#include "zinnia_base/time/system_clock.h"

namespace zinnia {
namespace {

constexpr std::uint32_t kTokens = 400'000;
constexpr std::size_t kStateBytes = 16'384;

/** Keeps the last step, for the loop of the benchmark to answer. Hands the state that it was given
    back as its own, so that no time goes into making one up. */
class MemoryLinks final : public StageLinks {
 public:
  void SendStep(const BackendServerName&,
                std::uint32_t hop,
                StepRequest step,
                std::weak_ptr<StepListener>) override {
    m_hop = hop;
    m_step = std::move(step);
  }
  void ReleaseSession(const BackendServerName&, const SessionName&, AttemptNumber) override {}
  void FindSession(const BackendServerName&,
                   const SessionName&,
                   std::function<void(Result<HeldSession>)>) override {}
  void MoveCache(const BackendServerName&,
                 const BackendServerName&,
                 const SessionName&,
                 AttemptNumber,
                 AttemptNumber,
                 std::function<void(Result<std::uint32_t>)>) override {}

  void AnswerTo(StepListener& listener) {
    StepAnswer answer{.attempt = m_step->attempt, .length = m_step->position + 1};
    answer.prompt_tokens = m_step->position == 0 ? 1 : 0;
    if (m_step->sample) {
      answer.token = SampledToken{.id = m_step->position, .text = " bed"};
      m_state = std::move(std::get<HiddenInput>(m_step->input).states.front());
    } else if (auto* hidden = std::get_if<HiddenInput>(&m_step->input)) {
      answer.states = std::move(hidden->states);
    } else {
      answer.states.push_back(std::move(m_state));
    }
    listener.OnStepAnswer(m_hop, std::move(answer));
  }

 private:
  std::uint32_t m_hop = 0;
  std::optional<StepRequest> m_step;
  std::string m_state = std::string(kStateBytes, 's');
};

class PlainTokenCodec final : public ResumeTokenCodec {
 public:
  std::string Seal(const ResumePoint&) const override { return {}; }
  Result<ResumePoint> Open(const std::string&) const override {
    return MakeError(ErrorKind::kResumeRefused, "not used here");
  }
};

class CountingCaller final : public AnswerListener {
 public:
  void OnAnswerToken(const SampledToken&, const std::string& event_id) override {
    ++tokens;
    event_id_bytes = event_id.size();
  }
  void OnAnswerDone(const AnswerUsage&) override { is_done = true; }
  void OnAnswerFailed(const Error&) override { is_done = true; }

  std::uint32_t tokens = 0;
  std::size_t event_id_bytes = 0;
  bool is_done = false;
};

void Measure(const std::string& name, const ResumeTokenCodec* codec) {
  SessionWorld world;
  MemoryLinks links;
  SystemClock clock;
  const SessionParts parts{clock,
                           world.time,
                           links,
                           world.chooser,
                           world.snapshots,
                           world.gate,
                           codec != nullptr ? *codec : *world.codec,
                           world.recorder};
  const auto caller = std::make_shared<CountingCaller>();
  const auto driver = SessionDriver::Create(
      parts, "akl-a-1/1800000000/42", SessionWorld::MakeRequest(kTokens), std::nullopt, caller);
  driver->Start();
  const TimePoint start = clock.Now();
  while (!caller->is_done) {
    links.AnswerTo(*driver);
  }
  const double nanoseconds = static_cast<double>((clock.Now() - start).count());
  fmt::print("{}_ns_per_token={:.0f}\n{}_tokens={}\n", name, nanoseconds / kTokens, name,
             caller->tokens);
  if (caller->event_id_bytes > 0) {
    fmt::print("event_id_bytes={}\n", caller->event_id_bytes);
  }
}

}  // namespace

void PrintDriverCost() {
  const PlainTokenCodec plain;
  Measure("driver_without_sealing", &plain);
  Measure("driver_with_sealing", nullptr);
}

}  // namespace zinnia
