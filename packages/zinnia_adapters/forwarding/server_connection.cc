#include "zinnia_adapters/forwarding/server_connection.h"

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <cassert>
#include <cerrno>
#include <charconv>
#include <exception>
#include <utility>

#include "zinnia_adapters/forwarding/server_answer_listener.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/** TCP user timeout, which detects servers and networks that stop responding. */
constexpr int kTcpUserTimeoutMilliseconds = 2'500;

constexpr std::size_t kReadBytes = 16'384;
/** The bound of AnswerMemory, as its setting is named. */
constexpr std::string_view kSumOfAnswers = "answers_in_hand_bytes";
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
                                                           ServerConnectionParts parts,
                                                           BackendServerName server,
                                                           NetworkAddress address) {
  return std::shared_ptr<ServerConnection>(
      new ServerConnection(loop, std::move(parts), std::move(server), std::move(address)));
}

ServerConnection::ServerConnection(asio::io_context& loop,
                                   ServerConnectionParts parts,
                                   BackendServerName server,
                                   NetworkAddress address)
    : m_parts(std::move(parts)),
      m_server(std::move(server)),
      m_address(std::move(address)),
      m_socket(loop),
      m_connect_timer(loop),
      m_share(m_parts.memory, [this](std::size_t bytes) { OnLetGo(bytes); }) {}

void ServerConnection::Send(Request request,
                            std::weak_ptr<ServerAnswerListener> listener,
                            Duration connect_limit) {
  assert(!m_busy && !m_closed && "one request at a time, on an open connection");
  m_request = std::move(request);
  m_listener = std::move(listener);
  m_busy = true;
  m_head_delivered = false;
  ++m_exchange;
  m_answer_bytes = 0;
  m_reader.emplace(m_parts.limits, m_request.method() == http::verb::head);
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

template <typename Step>
void ServerConnection::Guard(Step step) {
  const auto listener = m_listener.lock();
  try {
    step();
  } catch (const std::exception& failure) {
    m_parts.metrics.Count("traffic_failures");
    m_parts.logger.Log(LogLevel::kError, "traffic_failure",
                       {{"server", m_server}, {"reason", failure.what()}});
    Close();
    if (listener) {
      listener->OnStepFailed();
    }
  }
}

void ServerConnection::Connect(Duration limit) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(m_address.ip, error);
  m_connect_timer.expires_after(limit);
  m_connect_timer.async_wait([self = shared_from_this()](const auto& timer_error) {
    if (!timer_error && !self->m_connected && !self->m_closed) {
      self->Guard([&] { self->Fail(AnswerFailure::kNotSent, "connecting took too long"); });
    }
  });
  m_socket.async_connect({ip, m_address.port},
                         [self = shared_from_this()](const boost::system::error_code& result) {
                           self->Guard([&] { self->OnConnected(result); });
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
  if (!listener || !listener->OnServerConnected()) {
    Fail(AnswerFailure::kWithdrawn, "the request was withdrawn before it was sent");
    return;
  }
  Write();
  Read();
}

void ServerConnection::Write() {
  m_writing = true;
  auto on_written = [self = shared_from_this()](const boost::system::error_code& error,
                                                std::size_t) {
    self->m_writing = false;
    if (error && !self->m_closed && self->m_busy) {
      self->Guard([&] { self->Fail(AnswerFailure::kBroken, error.message()); });
    }
  };
  if (m_request.long_fields.IsEmpty()) {
    http::async_write(m_socket, m_request, std::move(on_written));
    return;
  }
  m_head_text = m_request.HeadText();
  const std::array message = {asio::buffer(m_head_text), asio::buffer(m_request.body())};
  asio::async_write(m_socket, message, std::move(on_written));
}

void ServerConnection::Read() {
  m_socket.async_read_some(
      m_buffer.prepare(kReadBytes),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
        self->Guard([&] { self->OnRead(error, bytes); });
      });
}

void ServerConnection::OnRead(const boost::system::error_code& error, std::size_t bytes) {
  if (m_closed) {
    return;
  }
  m_buffer.commit(bytes);
  m_answer_bytes += bytes;
  if (const auto fault = ReadAnswer(error)) {
    if (fault->IsBound()) {
      BreakOff(NameOf(fault->kind), fault->detail);
      return;
    }
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
    if (!m_reader->HasHead()) {
      CountHeld({});
    }
    return;
  }
  if (const auto listener = m_listener.lock()) {
    const HeldAnswerBytes held = listener->OnServerAnswerBody(bytes);
    if (!m_closed) {
      CountHeld(held);
    }
  }
}

void ServerConnection::CountHeld(HeldAnswerBytes held) {
  const std::size_t limit = m_parts.limits.event_bytes;
  if (held.unfinished_event > limit) {
    const std::string_view bound = NameOf(AnswerFaultKind::kEventTooLong);
    BreakOff(bound, fmt::format("more than {} = {}", bound, limit));
    return;
  }
  m_share.Set(held.all + m_buffer.size());
}

/** All answers together hold too much, and this one is the largest. */
void ServerConnection::OnLetGo(std::size_t bytes) {
  const auto self = weak_from_this().lock();
  if (self && !m_closed) {
    BreakOff(kSumOfAnswers, fmt::format("all answers in hand hold more than {} bytes, this one {}",
                                        m_parts.memory->Limit(), bytes));
  }
}

void ServerConnection::BreakOff(std::string_view bound, const std::string& detail) {
  const std::string setting =
      bound == kSumOfAnswers ? std::string(bound) : fmt::format("answer_{}", bound);
  m_parts.metrics.Count(fmt::format("answers_broken_off_{}", bound));
  m_parts.logger.Log(LogLevel::kWarning, "answer_broken_off",
                     {{"server", m_server},
                      {"bound", std::string(bound)},
                      {"bytes", std::to_string(m_answer_bytes)},
                      {"reason", detail}});
  Fail(AnswerFailure::kBroken,
       fmt::format("the answer of {} was broken off: {}; correct the server, or raise the setting "
                   "{} if it is sound",
                   m_server, detail, setting));
}

void ServerConnection::FinishAnswer() {
  m_busy = false;
  m_share.Clear();
  m_idle_since = m_parts.clock.Now();
  const bool keep = m_reader->KeepsConnection() && m_buffer.size() == 0 && !m_writing;
  const auto listener = std::exchange(m_listener, {}).lock();
  if (keep) {
    std::string().swap(m_request.body());  // It may be large, and the connection may lie idle.
  } else {
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
  m_share.Clear();
  m_listener.reset();
  m_connect_timer.cancel();
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

}  // namespace zinnia
