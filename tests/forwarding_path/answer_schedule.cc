#include "tests/forwarding_path/answer_schedule.h"

#include <array>
#include <boost/asio/post.hpp>

#include "tests/forwarding_path/answer_generator.h"
#include "tests/forwarding_path/answer_judge.h"

namespace zinnia {
namespace {

constexpr int kRequests = 8;
constexpr std::size_t kTracedBytes = 600;
constexpr std::size_t kBytesReadAtOnce = 10'000;

/** Moves the clock past the exclusions of servers. */
constexpr std::chrono::seconds kPause{20};

constexpr std::array<std::string_view, 3> kPaths = {"/once/x", "/safe/x", "/events/x"};

}  // namespace

AnswerSchedule::AnswerSchedule(std::uint64_t seed) : m_seed(seed), m_random(seed) {
  m_fixture.Script([this](RawServer::Connection& connection) { Serve(connection); });
}

std::string AnswerSchedule::Run() {
  for (int number = 1; number <= kRequests; ++number) {
    if (std::string fault = RunRequest(number); !fault.empty()) {
      return fault;
    }
  }
  return "";
}

std::string AnswerSchedule::RunRequest(int number) {
  m_kind = static_cast<RequestKind>(m_random() % kPaths.size());
  m_number = number;
  m_id = fmt::format("s{}-{}", m_seed, number);
  m_answers.clear();
  if (m_caller == nullptr || m_caller->IsClosed()) {
    m_fixture.callers.push_back(
        std::make_unique<TestCaller>(m_fixture.thread.Loop(), m_fixture.traffic->Server().Port()));
    m_caller = m_fixture.callers.back().get();
    m_judged = 0;
  }
  m_caller->Send(
      fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nX-Id: {}\r\nX-Key: key-1\r\n"
                  "X-Deadline: 60000\r\nContent-Length: {}\r\n\r\n{}",
                  kPaths.at(static_cast<std::size_t>(m_kind)), m_id, m_id.size(), m_id));
  const auto received = [this] { return std::string_view(m_caller->Received()).substr(m_judged); };
  m_fixture.Until([&] {
    return m_caller->IsClosed() ||
           StrictAnswerParser::Parse(received()).state != StrictState::kUnfinished;
  });
  RunReady(m_fixture.thread.Loop());
  std::string fault =
      AnswerJudge(m_kind, m_id, m_answers).FindFault(received(), m_caller->IsClosed());
  if (fault.empty()) {
    fault = m_fault;
  }
  if (!fault.empty()) {
    return Trace(fault, received());
  }
  m_passed_on += received().find("X-Attempt") != std::string_view::npos ? 1 : 0;
  m_judged = m_caller->Received().size();
  if (NeedsPause()) {
    m_fixture.clock.MoveBy(kPause);
  }
  return "";
}

/** Refusals and failures exclude no server at once, and their connections are used again. */
bool AnswerSchedule::NeedsPause() const {
  return m_answers.empty() || std::ranges::any_of(m_answers, [](const GeneratedAnswer& answer) {
           return answer.soundness != Soundness::kSound;
         });
}

void AnswerSchedule::Serve(RawServer::Connection& connection) {
  const std::string id(connection.request["X-Id"]);
  const std::string last(connection.request["X-Last-Event"]);
  if (id != m_id) {
    m_fault = "a request arrives that nobody waits for: " + id;
    return;
  }
  const int attempt = static_cast<int>(m_answers.size()) + 1;
  AnswerGenerator generator((m_seed << 16U) + (static_cast<std::uint64_t>(m_number) << 8U) +
                            attempt);
  GeneratedAnswer answer = generator.Draw(m_kind, id, attempt, last.empty() ? 0 : std::stoi(last));
  connection.socket.set_option(boost::asio::ip::tcp::no_delay(true));
  Sender& sender = m_senders[&connection];
  if (sender.must_be_closed) {
    m_fault = "a connection with bytes of nobody is used again";
  }
  if (sender.is_dirty && answer.soundness == Soundness::kSound) {
    answer.soundness = Soundness::kEither;
  }
  if (!sender.late.empty()) {
    sender.pieces.push_back(std::exchange(sender.late, {}));
  }
  sender.pieces.insert(sender.pieces.end(), answer.pieces.begin(), answer.pieces.end());
  sender.poured = answer.poured;
  sender.left_to_pour = answer.most_poured;
  sender.end = answer.end;
  sender.late = answer.late;
  sender.must_be_closed = answer.has_extra && answer.pieces.size() == 1 &&
                          answer.pieces.front().size() < kBytesReadAtOnce;
  sender.is_dirty = sender.is_dirty || answer.has_extra || !answer.late.empty();
  ++m_answered;
  m_mutated += answer.name.find(',') != std::string::npos ? 1 : 0;
  m_answers.push_back(std::move(answer));
  if (!std::exchange(sender.is_writing, true)) {
    WriteOn(connection);
  }
}

/** Writes one piece at a time, so that the peer reads each alone. */
void AnswerSchedule::WriteOn(RawServer::Connection& connection) {
  Sender& sender = m_senders[&connection];
  const bool pours = sender.pieces.empty() && !sender.poured.empty();
  if (sender.pieces.empty() && !pours) {
    sender.is_writing = false;
    End(connection, sender.end);
    return;
  }
  const auto piece = std::make_shared<std::string>(pours ? sender.poured : sender.pieces.front());
  if (!pours) {
    sender.pieces.pop_front();
  } else if (sender.left_to_pour < piece->size()) {
    m_fault = "an endless answer is not broken off";
    End(connection, ConnectionEnd::kOrderly);
    return;
  } else {
    sender.left_to_pour -= piece->size();
  }
  boost::asio::async_write(
      connection.socket, boost::asio::buffer(*piece),
      [this, piece, &connection](boost::system::error_code error, std::size_t) {
        if (error) {
          End(connection, ConnectionEnd::kOrderly);
          return;
        }
        auto& loop = m_fixture.thread.Loop();
        boost::asio::post(loop, [this, &loop, &connection] {
          boost::asio::post(loop, [this, &connection] { WriteOn(connection); });
        });
      });
}

void AnswerSchedule::End(RawServer::Connection& connection, ConnectionEnd end) {
  boost::system::error_code ignored;
  if (end == ConnectionEnd::kReset) {
    connection.socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  if (end != ConnectionEnd::kKept) {
    connection.socket.close(ignored);
  }
}

std::string AnswerSchedule::Trace(const std::string& fault, std::string_view received) const {
  std::string trace = fmt::format("\nseed {}: {} in {} {}", m_seed, fault,
                                  kPaths.at(static_cast<std::size_t>(m_kind)), m_id);
  for (const GeneratedAnswer& answer : m_answers) {
    trace += fmt::format("\n  answer {}: {} (soundness {}, end {})", answer.attempt, answer.name,
                         static_cast<int>(answer.soundness), static_cast<int>(answer.end));
  }
  return trace + fmt::format("\n  received: {}\n", received.substr(0, kTracedBytes));
}

}  // namespace zinnia
