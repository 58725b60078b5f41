#include "bench/path/caller_stream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace zinnia::bench {
namespace {

constexpr std::string_view kHead = "HTTP/1.1 200";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kLastChunk = "\r\n0\r\n\r\n";

/** The finish event and [DONE] are no tokens. */
constexpr std::uint32_t kEventsAfterTokens = 2;

}  // namespace

CallerStream::CallerStream(boost::asio::io_context& loop,
                           std::uint16_t port,
                           const std::string& request,
                           std::uint32_t tokens_of_an_answer,
                           Totals& totals)
    : m_socket(loop),
      m_request(request),
      m_tokens_of_an_answer(tokens_of_an_answer),
      m_totals(totals) {
  m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
  m_socket.set_option(boost::asio::ip::tcp::no_delay(true));
}

void CallerStream::Start(Latencies* latencies, std::function<void()> on_end) {
  m_latencies = latencies;
  m_on_end = std::move(on_end);
  m_tail.clear();
  m_events = 0;
  m_head_seen = false;
  m_last = BenchClock::now();
  boost::asio::write(m_socket, boost::asio::buffer(m_request));
  Read();
}

void CallerStream::Read() {
  m_socket.async_read_some(boost::asio::buffer(m_buffer),
                           [this](const boost::system::error_code& error, std::size_t bytes) {
                             if (error) {
                               Fail(error.message());
                               return;
                             }
                             OnBytes({m_buffer.data(), bytes});
                           });
}

void CallerStream::OnBytes(std::string_view bytes) {
  if (!m_head_seen && !bytes.starts_with(kHead)) {
    Fail(bytes);
    return;
  }
  m_head_seen = true;
  std::uint32_t events = 0;
  if (!m_tail.empty() && m_tail.back() == '\n' && bytes.front() == '\n') {
    ++events;  // an event whose end came in two reads
  }
  for (std::size_t at = bytes.find(kEventEnd); at != std::string_view::npos;
       at = bytes.find(kEventEnd, at + kEventEnd.size())) {
    ++events;
  }
  OnEvents(events);
  m_tail.append(bytes.substr(bytes.size() - std::min(bytes.size(), kLastChunk.size())));
  if (m_tail.size() > kLastChunk.size()) {
    m_tail.erase(0, m_tail.size() - kLastChunk.size());
  }
  if (m_tail != kLastChunk) {
    Read();
    return;
  }
  m_totals.tokens -= kEventsAfterTokens;
  ++m_totals.answers;
  m_on_end();
}

void CallerStream::OnEvents(std::uint32_t events) {
  m_totals.tokens += events;
  const bool has_token = events > 0 && m_events < m_tokens_of_an_answer;
  if (has_token && m_latencies != nullptr) {
    const auto now = BenchClock::now();
    m_latencies->Add(m_events == 0, now - m_last);
    m_last = now;
  }
  m_events += events;
}

void CallerStream::Fail(std::string_view what) {
  ++m_totals.failures;
  if (m_totals.first_failure.empty()) {
    m_totals.first_failure = std::string(what);
  }
  m_on_end();
}

}  // namespace zinnia::bench
