#include "zinnia_adapters/forwarding/caller_answer.h"

#include <array>
#include <utility>

#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {

namespace {

constexpr unsigned kFirstFinalStatus = 200;

}  // namespace

std::string_view NameOf(AnswerState state) {
  static constexpr std::array<std::string_view, 3> kNames = {"nothing_sent", "stream_begun",
                                                             "ended"};
  return kNames.at(static_cast<std::size_t>(state));
}

CallerAnswer::CallerAnswer(std::shared_ptr<Responder> responder, Logger& logger, Metrics& metrics)
    : m_responder(std::move(responder)), m_logger(logger), m_metrics(metrics) {}

bool CallerAnswer::SendWhole(CallerResponse response) {
  if (m_state != AnswerState::kNothingSent) {
    Reject("whole_answer");
    return false;
  }
  if (response.result_int() < kFirstFinalStatus) {
    Reject("status_that_is_not_final");
    CutOff();
    return false;
  }
  m_state = AnswerState::kEnded;
  m_responder->SendWhole(std::move(response));
  return true;
}

void CallerAnswer::StartStream(StreamHead head) {
  if (m_state == AnswerState::kEnded) {
    Reject("stream_head");
    return;
  }
  if (std::exchange(m_state, AnswerState::kStreamBegun) == AnswerState::kNothingSent) {
    m_responder->StartStream(std::move(head));
  }
}

void CallerAnswer::SendEvents(std::string_view events) {
  if (m_state != AnswerState::kStreamBegun) {
    Reject("events");
    return;
  }
  m_responder->SendEvents(events);
}

void CallerAnswer::EndStream() {
  if (m_state != AnswerState::kStreamBegun) {
    Reject("end_of_stream");
    return;
  }
  m_state = AnswerState::kEnded;
  m_responder->EndEvents();
}

void CallerAnswer::CutOff() {
  if (std::exchange(m_state, AnswerState::kEnded) != AnswerState::kEnded) {
    m_responder->CutOff();
  }
}

void CallerAnswer::Reject(std::string_view call) {
  m_metrics.Count("misplaced_answers");
  m_logger.Log(LogLevel::kError, "answer_misplaced",
               {{"request", m_request_id},
                {"call", std::string(call)},
                {"state", std::string(NameOf(m_state))}});
  if (m_state == AnswerState::kStreamBegun) {
    CutOff();
  }
}

}  // namespace zinnia
