#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "tests/forwarding_path/generated_answer.h"
#include "tests/forwarding_path/strict_answer_parser.h"

namespace zinnia {

/** Judges what one caller received for one request, of which the servers' answers are known. */
class AnswerJudge {
 public:
  /** `answers`: one for each time that the request arrived at a server, in order. */
  AnswerJudge(RequestKind kind, std::string id, const std::vector<GeneratedAnswer>& answers)
      : m_kind(kind), m_id(std::move(id)), m_answers(answers) {}

  /** `received`: all bytes since the end of the answer before. Returns the fault, or nothing. */
  std::string FindFault(std::string_view received, bool is_closed) const;

 private:
  std::string FindFaultOfCut(const StrictAnswer& got) const;
  std::string FindFaultOfOwn(const StrictAnswer& got) const;
  std::string FindFaultOfServers(const StrictAnswer& got, const std::string& attempt) const;
  std::string FindFaultOfStream(const StrictAnswer& got, const std::string& attempt) const;
  std::string FindFaultOfSends() const;
  bool MustBePassedOn(const GeneratedAnswer& answer) const;

  const RequestKind m_kind;
  const std::string m_id;
  const std::vector<GeneratedAnswer>& m_answers;
};

}  // namespace zinnia
