// Measures the time from the moment a server writes an event until its caller has read it, once
// without and once with a forwarding instance between them. Servers, instance and callers share
// one thread, so what the instance adds includes the wait for the other two.

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <vector>

#include "tests/forwarding_path/forwarding_fixture.h"

namespace zinnia {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr int kEventsOfStream = 100;

/** About the pace of tokens that callers of a language model see. */
constexpr milliseconds kBetweenEvents{35};

constexpr std::string_view kTimeMark = "at=";

std::int64_t NowInMicroseconds() {
  return std::chrono::duration_cast<microseconds>(SteadyClock::now().time_since_epoch()).count();
}

/** Writes timed events on one connection, then ends the answer. */
class TimedStream : public std::enable_shared_from_this<TimedStream> {
 public:
  TimedStream(boost::asio::io_context& loop, RawServer::Connection& connection)
      : m_timer(loop), m_connection(connection) {}

  void Start() {
    m_connection.Write(ForwardingFixture::Head(
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    Next();
  }

 private:
  void Next() {
    if (m_sent == kEventsOfStream) {
      m_connection.Write("0\r\n\r\n");
      return;
    }
    ++m_sent;
    m_connection.Write(ForwardingFixture::Chunk(
        fmt::format("id: {}\ndata: {}{}\n\n", m_sent, kTimeMark, NowInMicroseconds())));
    m_timer.expires_after(kBetweenEvents);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code) { self->Next(); });
  }

  boost::asio::steady_timer m_timer;
  RawServer::Connection& m_connection;
  int m_sent = 0;
};

/** Reads a stream and notes how old each event is when it arrives. */
class TimingCaller {
 public:
  TimingCaller(boost::asio::io_context& loop, std::uint16_t port, std::vector<std::int64_t>& ages)
      : m_socket(loop), m_ages(ages) {
    m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
    boost::asio::write(m_socket, boost::asio::buffer(std::string_view(
                                     "POST /events/ HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\n"
                                     "X-Key: key-1\r\nX-Deadline: 60000\r\n"
                                     "Content-Length: 4\r\n\r\nbody")));
    Read();
  }

 private:
  void Read() {
    m_socket.async_read_some(boost::asio::buffer(m_buffer),
                             [this](boost::system::error_code error, std::size_t bytes) {
                               if (error) {
                                 return;
                               }
                               NoteEvents({m_buffer.data(), bytes});
                               Read();
                             });
  }

  void NoteEvents(std::string_view bytes) {
    const std::int64_t now = NowInMicroseconds();
    for (std::size_t mark = bytes.find(kTimeMark); mark != std::string_view::npos;
         mark = bytes.find(kTimeMark, mark + 1)) {
      std::int64_t written = 0;
      const std::string_view digits = bytes.substr(mark + kTimeMark.size());
      std::from_chars(digits.data(), digits.data() + digits.size(), written);
      m_ages.push_back(now - written);
    }
  }

  boost::asio::ip::tcp::socket m_socket;
  std::array<char, 16'384> m_buffer{};
  std::vector<std::int64_t>& m_ages;
};

double PercentileInMilliseconds(std::vector<std::int64_t>& sorted, double part) {
  const auto index = static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[index]) / 1'000.0;
}

void Measure(int streams, bool forwarded) {
  ForwardingFixture fixture;
  boost::asio::io_context& loop = fixture.thread.Loop();
  fixture.Script([&loop](RawServer::Connection& connection) {
    std::make_shared<TimedStream>(loop, connection)->Start();
  });
  const std::uint16_t port =
      forwarded ? fixture.traffic->Server().Port() : fixture.a.Address().port;
  std::vector<std::int64_t> ages;
  std::vector<std::unique_ptr<TimingCaller>> callers;
  callers.reserve(static_cast<std::size_t>(streams));
  for (int stream = 0; stream < streams; ++stream) {
    callers.push_back(std::make_unique<TimingCaller>(loop, port, ages));
  }
  const auto expected = static_cast<std::size_t>(streams) * kEventsOfStream;
  const auto end = SteadyClock::now() + std::chrono::seconds(30);
  while (ages.size() < expected && SteadyClock::now() < end) {
    loop.run_for(milliseconds(50));
  }
  std::sort(ages.begin(), ages.end());
  const std::string name =
      fmt::format("streams_{}_{}", streams, forwarded ? "forwarded" : "direct");
  fmt::print("{}_events={}\n{}_events_expected={}\n", name, ages.size(), name, expected);
  if (ages.empty()) {
    return;
  }
  fmt::print("{}_p50_ms={:.3f}\n", name, PercentileInMilliseconds(ages, 0.5));
  fmt::print("{}_p99_ms={:.3f}\n", name, PercentileInMilliseconds(ages, 0.99));
  fmt::print("{}_p999_ms={:.3f}\n", name, PercentileInMilliseconds(ages, 0.999));
  fmt::print("{}_max_ms={:.3f}\n", name, PercentileInMilliseconds(ages, 1.0));
}

int Run() {
  for (const int streams : {1, 12}) {
    Measure(streams, false);
    Measure(streams, true);
  }
  return 0;
}

}  // namespace
}  // namespace zinnia

int main() {
  return zinnia::Run();
}
