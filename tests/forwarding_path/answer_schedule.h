#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "tests/forwarding_path/forwarding_fixture.h"
#include "tests/forwarding_path/generated_answer.h"

namespace zinnia {

/** One caller who sends requests in series, and servers that answer as AnswerGenerator draws. */
class AnswerSchedule {
 public:
  explicit AnswerSchedule(std::uint64_t seed);

  /** Returns the first fault with its trace, or nothing. */
  std::string Run();

  int Answers() const { return m_answered; }
  int PassedOn() const { return m_passed_on; }
  int Mutated() const { return m_mutated; }

 private:
  /** What is still to be written on a connection of a server. */
  struct Sender {
    std::deque<std::string> pieces;
    std::string poured;
    std::size_t left_to_pour = 0;
    ConnectionEnd end = ConnectionEnd::kKept;
    std::string late;
    bool is_dirty = false;

    /** Bytes of nobody have arrived along with an answer. */
    bool must_be_closed = false;
    bool is_writing = false;
  };

  std::string RunRequest(int number);
  void Serve(RawServer::Connection& connection);
  void WriteOn(RawServer::Connection& connection);
  static void End(RawServer::Connection& connection, ConnectionEnd end);
  std::string Trace(const std::string& fault, std::string_view received) const;
  bool NeedsPause() const;

  const std::uint64_t m_seed;
  std::mt19937_64 m_random;
  ForwardingFixture m_fixture;
  std::map<RawServer::Connection*, Sender> m_senders;
  TestCaller* m_caller = nullptr;
  std::size_t m_judged = 0;
  RequestKind m_kind = RequestKind::kOnce;
  std::string m_id;
  int m_number = 0;
  std::vector<GeneratedAnswer> m_answers;
  std::string m_fault;
  int m_answered = 0;
  int m_passed_on = 0;
  int m_mutated = 0;
};

}  // namespace zinnia
