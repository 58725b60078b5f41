#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "bench/path/latencies.h"

namespace zinnia::bench {

/** One caller: a keep-alive connection on which streamed chats follow each other.

    Counts events without parsing them, so that thousands of streams fit on one thread.
*/
class CallerStream {
 public:
  /** What came in over all callers. */
  struct Totals {
    std::uint64_t tokens = 0;
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::string first_failure;
  };

  CallerStream(boost::asio::io_context& loop,
               std::uint16_t port,
               const std::string& request,
               std::uint32_t tokens_of_an_answer,
               Totals& totals);

  /** Sends the next request. Token waits go to `latencies` (may be null); `on_end` runs after the
      whole answer or a failure. */
  void Start(Latencies* latencies, std::function<void()> on_end);

 private:
  void Read();
  void OnBytes(std::string_view bytes);
  void OnEvents(std::uint32_t events);
  void Fail(std::string_view what);

  boost::asio::ip::tcp::socket m_socket;
  const std::string& m_request;
  const std::uint32_t m_tokens_of_an_answer;
  Totals& m_totals;
  Latencies* m_latencies = nullptr;
  std::function<void()> m_on_end;
  std::array<char, 8192> m_buffer;
  std::string m_tail;
  std::uint32_t m_events = 0;
  bool m_head_seen = false;
  BenchClock::time_point m_last{};
};

}  // namespace zinnia::bench
