#include "zinnia_adapters/forwarding/server_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/write.hpp>
#include <cassert>
#include <cerrno>
#include <charconv>
#include <utility>

#include "zinnia_adapters/forwarding/server_answer_listener.h"

namespace zinnia {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/** TCP user timeout, which detects servers and networks that stop responding. */
constexpr int kTcpUserTimeoutMilliseconds = 2'500;

constexpr std::size_t kReadBytes = 16'384;
constexpr std::string_view kTimeoutParameter = "timeout=";

/** Parses the timeout of a Keep-Alive header, such as "timeout=5, max=100". */
Duration IdleLimitOf(std::string_view keep_alive) {
  const std::size_t found = keep_alive.find(kTimeoutParameter);
  if (found == std::string_view::npos) {
    return Duration::zero();
  }
  keep_alive.remove_prefix(found + kTimeoutParameter.size());
  unsigned seconds = 0;
  std::from_chars(keep_alive.data(), keep_alive.data() + keep_alive.size(), seconds);
  return std::chrono::seconds(seconds);
}

}  // namespace

std::shared_ptr<ServerConnection> ServerConnection::Create(asio::io_context& loop,
                                                           const Clock& clock,
                                                           NetworkAddress address) {
  return std::shared_ptr<ServerConnection>(new ServerConnection(loop, clock, std::move(address)));
}

ServerConnection::ServerConnection(asio::io_context& loop,
                                   const Clock& clock,
                                   NetworkAddress address)
    : m_clock(clock), m_address(std::move(address)), m_socket(loop), m_connect_timer(loop) {}

void ServerConnection::Send(Request request,
                            std::weak_ptr<ServerAnswerListener> listener,
                            Duration connect_limit) {
  assert(!m_busy && !m_closed && "one request at a time, on an open connection");
  m_request = std::move(request);
  m_listener = std::move(listener);
  m_busy = true;
  m_head_delivered = false;
  ++m_exchange;
  m_reader.emplace(AnswerLimits(), m_request.method() == http::verb::head);
  if (m_connected) {
    m_has_served = true;
    Write();
    Read();
  } else {
    Connect(connect_limit);
  }
}

void ServerConnection::SetListener(std::weak_ptr<ServerAnswerListener> listener) {
  m_listener = std::move(listener);
}

void ServerConnection::Connect(Duration limit) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(m_address.ip, error);
  m_connect_timer.expires_after(limit);
  m_connect_timer.async_wait([self = shared_from_this()](const auto& timer_error) {
    if (!timer_error && !self->m_connected && !self->m_closed) {
      self->Fail(AnswerFailure::kNotSent, "connecting took too long");
    }
  });
  m_socket.async_connect({ip, m_address.port},
                         [self = shared_from_this()](const boost::system::error_code& result) {
                           self->OnConnected(result);
                         });
}

void ServerConnection::OnConnected(const boost::system::error_code& error) {
  if (m_closed) {
    return;
  }
  m_connect_timer.cancel();
  if (error) {
    const bool refused = error == asio::error::connection_refused;
    Fail(refused ? AnswerFailure::kRefused : AnswerFailure::kNotSent, error.message());
    return;
  }
  m_connected = true;
  boost::system::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const int limit = kTcpUserTimeoutMilliseconds;
  setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
  const auto listener = m_listener.lock();
  if (listener && !listener->OnServerConnected()) {
    Fail(AnswerFailure::kWithdrawn, "the server began to leave before the request was sent");
    return;
  }
  Write();
  Read();
}

void ServerConnection::Write() {
  m_writing = true;
  http::async_write(
      m_socket, m_request,
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        self->m_writing = false;
        if (error && !self->m_closed && self->m_busy) {
          self->Fail(AnswerFailure::kBroken, error.message());
        }
      });
}

void ServerConnection::Read() {
  m_socket.async_read_some(
      m_buffer.prepare(kReadBytes),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void ServerConnection::OnRead(const boost::system::error_code& error, std::size_t bytes) {
  if (m_closed) {
    return;
  }
  m_buffer.commit(bytes);
  if (const auto fault = ReadAnswer(error)) {
    Fail(AnswerFailure::kBroken, fault->detail);
    return;
  }
  if (!DeliverHead()) {
    return;
  }
  DeliverBody();
  if (m_closed) {
    return;
  }
  if (m_reader->IsDone()) {
    FinishAnswer();
  } else {
    Read();
  }
}

std::optional<AnswerFault> ServerConnection::ReadAnswer(const boost::system::error_code& error) {
  if (error == asio::error::eof) {
    return m_reader->ReadEnd();
  }
  if (error) {
    return AnswerFault{AnswerFaultKind::kCutShort, error.message()};
  }
  return m_reader->Read(m_buffer);
}

/** Returns false if the listener closed the connection. */
bool ServerConnection::DeliverHead() {
  if (m_head_delivered || !m_reader->HasHead()) {
    return true;
  }
  m_head_delivered = true;
  m_server_idle_limit = IdleLimitOf(m_reader->Head()[http::field::keep_alive]);
  if (const auto listener = m_listener.lock()) {
    listener->OnServerAnswerHead(m_reader->Status(), m_reader->Head());
  }
  return !m_closed;
}

void ServerConnection::DeliverBody() {
  const std::string bytes = m_reader->TakeBody();
  if (bytes.empty()) {
    return;
  }
  if (const auto listener = m_listener.lock()) {
    listener->OnServerAnswerBody(bytes);
  }
}

void ServerConnection::FinishAnswer() {
  m_busy = false;
  m_idle_since = m_clock.Now();
  const bool keep = m_reader->KeepsConnection() && m_buffer.size() == 0 && !m_writing;
  const auto listener = std::exchange(m_listener, {}).lock();
  if (!keep) {
    Close();
  }
  if (listener) {
    listener->OnServerAnswerEnd();
  }
}

void ServerConnection::Fail(AnswerFailure failure, const std::string& reason) {
  const auto listener = std::exchange(m_listener, {}).lock();
  Close();
  if (listener) {
    listener->OnServerFailed(failure, reason);
  }
}

bool ServerConnection::IsReusable() {
  if (m_closed || m_busy || !m_connected) {
    return false;
  }
  char byte = 0;
  const auto got = recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ServerConnection::WatchIdle() {
  m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [self = shared_from_this(), exchange = m_exchange](const auto& error) {
                        if (!error && !self->m_busy && exchange == self->m_exchange) {
                          self->Close();
                        }
                      });
}

void ServerConnection::Close() {
  if (std::exchange(m_closed, true)) {
    return;
  }
  m_busy = false;
  m_listener.reset();
  m_connect_timer.cancel();
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

}  // namespace zinnia
