#include "tests/forwarding_path/answer_judge.h"

#include <algorithm>

#include "tests/forwarding_path/answer_generator.h"

namespace zinnia {
namespace {

constexpr unsigned kFirstFailure = 300;
constexpr unsigned kFirstError = 400;

std::string FieldOf(const StrictAnswer& got, const std::string& name) {
  const auto field = got.fields.find(name);
  return field == got.fields.end() ? "" : field->second;
}

}  // namespace

std::string AnswerJudge::FindFault(std::string_view received, bool is_closed) const {
  const StrictAnswer got = StrictAnswerParser::Parse(received);
  if (got.state == StrictState::kFaulty) {
    return "no answer: " + got.fault;
  }
  if (std::string fault = FindFaultOfSends(); !fault.empty()) {
    return fault;
  }
  if (got.state == StrictState::kUnfinished) {
    return is_closed ? FindFaultOfCut(got) : "no whole answer";
  }
  if (got.size != received.size()) {
    return "bytes after the answer";
  }
  const std::string attempt = FieldOf(got, "x-attempt");
  if (attempt.empty()) {
    return FindFaultOfOwn(got);
  }
  if (m_kind == RequestKind::kEvents && got.status < kFirstFailure && got.status != 204) {
    return FindFaultOfStream(got, attempt);
  }
  return FindFaultOfServers(got, attempt);
}

std::string AnswerJudge::FindFaultOfCut(const StrictAnswer& got) const {
  if (m_kind != RequestKind::kEvents || !got.has_head || got.status >= kFirstFailure) {
    return "cut off, but no begun stream";
  }
  const std::string whole = AnswerGenerator::Events(m_id, 1, AnswerGenerator::EventCount(m_id));
  if (!whole.starts_with(got.body)) {
    return "a foreign beginning of a stream";
  }
  const auto is_whole = [](const GeneratedAnswer& answer) {
    return answer.soundness == Soundness::kSound && answer.status < kFirstFailure &&
           answer.status != 204;
  };
  return std::ranges::all_of(m_answers, is_whole) ? "a sound stream is cut off" : "";
}

/** An error of the instance's own. */
std::string AnswerJudge::FindFaultOfOwn(const StrictAnswer& got) const {
  if (got.status < kFirstError || got.fields.contains("x-signature") ||
      got.body.find(AnswerGenerator::kMark) != std::string::npos) {
    return "neither a server's answer nor an error";
  }
  return !m_answers.empty() && MustBePassedOn(m_answers.back()) ? "a sound answer is lost" : "";
}

std::string AnswerJudge::FindFaultOfServers(const StrictAnswer& got,
                                            const std::string& attempt) const {
  const auto answer = std::ranges::find(m_answers, attempt, &GeneratedAnswer::attempt);
  if (answer == m_answers.end()) {
    return "a foreign answer: " + attempt;
  }
  if (answer->soundness == Soundness::kSpoiled) {
    return "a spoiled answer";
  }
  if (got.status != answer->status || got.body != answer->body) {
    return "a foreign status or body";
  }
  if (got.status < kFirstFailure && !got.fields.contains("x-signature")) {
    return "a success without its signature";
  }
  return MustBePassedOn(m_answers.back()) && attempt != m_answers.back().attempt
             ? "a sound answer is lost"
             : "";
}

/** A stream may have been continued by other servers than the one that sent the head. */
std::string AnswerJudge::FindFaultOfStream(const StrictAnswer& got,
                                           const std::string& attempt) const {
  if (std::ranges::find(m_answers, attempt, &GeneratedAnswer::attempt) == m_answers.end()) {
    return "a foreign stream: " + attempt;
  }
  if (!got.fields.contains("x-signature")) {
    return "a stream without its signature";
  }
  const auto is_its_end = [&](const GeneratedAnswer& answer) {
    return answer.soundness != Soundness::kSpoiled && answer.status < kFirstFailure &&
           answer.status != 204 && answer.body == got.body;
  };
  return std::ranges::any_of(m_answers, is_its_end) ? "" : "a foreign or cut stream looks whole";
}

/** A request that must not run twice is sent again after a refusal only. */
std::string AnswerJudge::FindFaultOfSends() const {
  if (m_kind != RequestKind::kOnce || m_answers.empty()) {
    return "";
  }
  const auto is_refusal = [](const GeneratedAnswer& answer) {
    return answer.is_refusal && answer.soundness != Soundness::kSpoiled;
  };
  return std::all_of(m_answers.begin(), m_answers.end() - 1, is_refusal) ? "" : "sent twice";
}

bool AnswerJudge::MustBePassedOn(const GeneratedAnswer& answer) const {
  return answer.soundness == Soundness::kSound && answer.status < kFirstFailure && answer.is_signed;
}

}  // namespace zinnia
