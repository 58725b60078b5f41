#include "zinnia_adapters/callers/caller_connection.h"

#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <exception>
#include <iterator>
#include <utility>

#include "zinnia_adapters/callers/caller_exchange.h"
#include "zinnia_adapters/callers/caller_socket.h"
#include "zinnia_adapters/http/message_reading.h"
#include "zinnia_base/errors/error.h"

namespace zinnia {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 4096;
constexpr Duration kLingerTime = std::chrono::seconds(1);

/** How often a caller is looked for whose next bytes hide its leaving. */
constexpr Duration kDepartureCheckInterval = std::chrono::milliseconds(50);

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

Error UnreadableRequest(const boost::system::error_code& error) {
  if (error == http::error::body_limit) {
    return MakeError(ErrorKind::kPayloadTooLarge, "the body is larger than this instance takes");
  }
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return MakeError(ErrorKind::kPayloadTooLarge,
                     "the headers are larger than this instance takes");
  }
  return MakeError(ErrorKind::kInvalidRequest, "the request is not HTTP/1.1: " + error.message());
}

/** Sends what the socket takes without waiting and returns how much that was. An error counts as
    nothing sent: the next asynchronous write meets it again and reports it. */
std::size_t SendWithoutWaiting(asio::ip::tcp::socket& socket, std::string_view bytes) {
  const auto sent =
      send(socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

/** Assigning an empty string would keep the memory, for as long as the connection lies idle. */
void FreeText(std::string& text) {
  std::string().swap(text);
}

void AppendChunk(std::string& out, std::string_view data) {
  fmt::format_to(std::back_inserter(out), "{:x}\r\n", data.size());
  out += data;
  out += "\r\n";
}

}  // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   const CallerLimits& limits,
                                   ConnectionOwner& owner)
    : m_stream(std::move(socket)),
      m_limits(limits),
      m_owner(owner),
      m_timer(m_stream.get_executor()) {}

CallerConnection::~CallerConnection() = default;

void CallerConnection::Start() {
  boost::system::error_code ignored;
  m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  WaitForRequest();
}

template <typename Step>
void CallerConnection::Guard(Step step) {
  try {
    step();
  } catch (const std::exception& failure) {
    OnStepFailed(failure.what());
  }
}

/** Answers unless an answer has begun. */
void CallerConnection::OnStepFailed(std::string_view reason) {
  const bool has_begun = !m_is_reading && (m_writing || m_answer_ended || m_head_serializer);
  const auto exchange = std::exchange(m_exchange, nullptr);
  m_owner.OnStepFailed(exchange ? exchange->Describe() : "a request that is being read", reason);
  if (exchange) {
    exchange->OnCallerGone();
  }
  if (m_closed || has_begun) {
    Close();
    return;
  }
  m_is_reading = false;
  m_keep_alive = false;
  SendWhole(MakeProblemResponse(
      MakeError(ErrorKind::kInternal, "this instance has failed to handle the request")));
}

void CallerConnection::WaitForRequest() {
  if (m_buffer.size() > 0) {
    m_arrived_at = std::chrono::steady_clock::now();
    ReadHeader();
    return;
  }
  m_idle_since = std::chrono::steady_clock::now();
  m_is_idle = true;
  m_stream.expires_never();
  m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                               [self = shared_from_this()](const boost::system::error_code& error) {
                                 self->OnRequestArrives(error);
                               });
  WatchIdleTime();
}

/** Nothing has been read before, so that a connection that idles never holds a request. */
void CallerConnection::OnRequestArrives(const boost::system::error_code& error) {
  if (m_closed || !std::exchange(m_is_idle, false)) {
    return;
  }
  m_timer.cancel();
  if (error || !IsCallerThere()) {
    Close();
    return;
  }
  m_arrived_at = std::chrono::steady_clock::now() - TimeSinceLastBytes(m_stream.socket());
  ReadHeader();
}

/** Looks at the limit again when the time is over, since it may have grown meanwhile. */
void CallerConnection::WatchIdleTime() {
  m_timer.expires_at(m_idle_since + m_limits.idle_timeout);
  m_timer.async_wait(
      [self = shared_from_this(), since = m_idle_since](const boost::system::error_code& error) {
        if (!error && self->m_is_idle && since == self->m_idle_since) {
          self->OnIdleTimeOver();
        }
      });
}

void CallerConnection::OnIdleTimeOver() {
  if (std::chrono::steady_clock::now() < m_idle_since + m_limits.idle_timeout) {
    WatchIdleTime();
  } else if (!HasUnreadBytes(m_stream.socket())) {
    m_owner.CountConnectionEvent("caller_connections_idle_too_long");
    Close();
  }
}

void CallerConnection::ReadHeader() {
  m_is_reading = true;
  m_parser.emplace();
  m_parser->header_limit(m_limits.most_header_bytes);
  m_parser->body_limit(m_limits.most_body_bytes);
  m_stream.expires_after(m_limits.header_timeout);
  ReadRequest(m_stream, m_buffer, *m_parser, RequestPart::kHead,
              [self = shared_from_this()](const boost::system::error_code& error) {
                self->Guard([&] { self->OnHeader(error); });
              });
}

void CallerConnection::OnHeader(const boost::system::error_code& error) {
  if (m_closed) {
    return;
  }
  if (error) {
    RefuseUnreadable(error);
    return;
  }
  if (!beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
    ReadBody();
    return;
  }
  m_stream.expires_after(m_limits.write_timeout);
  asio::async_write(
      m_stream, asio::buffer(kContinue),
      [self = shared_from_this()](const boost::system::error_code& write_error, std::size_t) {
        if (write_error || self->m_closed) {
          self->Close();
          return;
        }
        self->ReadBody();
      });
}

void CallerConnection::ReadBody() {
  m_stream.expires_after(m_limits.body_timeout);
  ReadRequest(m_stream, m_buffer, *m_parser, RequestPart::kWhole,
              [self = shared_from_this()](const boost::system::error_code& error) {
                self->Guard([&] { self->OnBody(error); });
              });
}

void CallerConnection::OnBody(const boost::system::error_code& error) {
  if (m_closed) {
    return;
  }
  if (error) {
    RefuseUnreadable(error);
  } else {
    RunExchange();
  }
}

void CallerConnection::RefuseUnreadable(const boost::system::error_code& error) {
  m_is_reading = false;
  if (error == http::error::end_of_stream || error == asio::error::connection_reset ||
      error == http::error::partial_message) {
    Close();
    return;
  }
  if (error == beast::error::timeout) {
    // Beast has closed the socket by now, so there is no way left to tell the slow sender.
    m_owner.CountConnectionEvent("callers_cut_off_as_slow_senders");
    Close();
    return;
  }
  m_owner.CountConnectionEvent("caller_unreadable_requests");
  m_keep_alive = false;
  SendWhole(MakeProblemResponse(UnreadableRequest(error)));
}

void CallerConnection::RunExchange() {
  m_is_reading = false;
  CallerRequest request = m_parser->ReleaseRequest();
  // An answer takes minutes, and thousands of connections wait for theirs: each would keep the
  // buffers that its request needed.
  m_parser.reset();
  m_buffer.shrink_to_fit();
  m_keep_alive = request.keep_alive();
  m_is_head = request.method() == http::verb::head;
  m_answer_ended = false;
  ++m_request_number;
  m_stream.expires_never();
  // The exchange may answer and end within Start; the local pointer keeps it until Start returned.
  const auto exchange = m_owner.CreateExchange(
      std::move(request), std::chrono::steady_clock::now() - m_arrived_at, shared_from_this());
  m_exchange = exchange;
  WatchCaller();
  exchange->Start();
}

bool CallerConnection::IsCallerThere() {
  return !m_closed && !HasPeerLeft(m_stream.socket());
}

void CallerConnection::WatchCaller() {
  if (m_buffer.size() > 0) {
    WatchCallerWithUnreadBytes();
    return;
  }
  m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                               [self = shared_from_this(),
                                number = m_request_number](const boost::system::error_code& error) {
                                 if (!error) {
                                   self->Guard([&] { self->OnReadable(number); });
                                 }
                               });
}

/** A wait for bytes would end at once and tell nothing. */
void CallerConnection::WatchCallerWithUnreadBytes() {
  m_timer.expires_after(kDepartureCheckInterval);
  m_timer.async_wait([self = shared_from_this(),
                      number = m_request_number](const boost::system::error_code& error) {
    if (!error) {
      self->Guard([&] { self->OnReadable(number); });
    }
  });
}

void CallerConnection::OnReadable(std::uint64_t request_number) {
  if (!IsRunning(request_number)) {
    return;
  }
  if (!IsCallerThere()) {
    m_owner.CountConnectionEvent("callers_gone");
    Close();
    return;
  }
  WatchCallerWithUnreadBytes();
}

bool CallerConnection::IsRunning(std::uint64_t request_number) const {
  return !m_closed && m_exchange && request_number == m_request_number;
}

void CallerConnection::SendWhole(CallerResponse response) {
  if (m_closed) {
    return;
  }
  m_response = std::move(response);
  m_keep_alive = m_keep_alive && !m_owner.IsDraining();
  m_response.keep_alive(m_keep_alive);
  if (!m_is_head) {
    m_response.prepare_payload();
    if (m_response.result() == http::status::no_content) {
      m_response.erase(http::field::content_length);  // Forbidden there, RFC 9110 8.6.
    }
  } else if (!m_response.body().empty()) {
    m_response.content_length(m_response.body().size());
    m_response.body().clear();
  }
  m_writing = true;
  m_answer_ended = true;
  m_stream.expires_after(m_limits.write_timeout);
  http::async_write(
      m_stream, m_response,
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        self->Guard([&] { self->OnWritten(error); });
      });
}

void CallerConnection::StartEvents(const std::string& request_id) {
  StreamHead head(http::status::ok, 11);
  head.set(http::field::content_type, "text/event-stream");
  head.set(http::field::cache_control, "no-store");
  head.set("X-Request-Id", request_id);
  StartStream(std::move(head));
}

void CallerConnection::StartStream(StreamHead head) {
  if (m_closed) {
    return;
  }
  m_answer_ended = false;
  m_events_head = std::move(head);
  m_keep_alive = m_keep_alive && !m_owner.IsDraining();
  m_events_head.keep_alive(m_keep_alive);
  m_events_head.chunked(true);
  m_head_serializer.emplace(m_events_head);
  m_writing = true;
  m_stream.expires_after(m_limits.write_timeout);
  http::async_write_header(
      m_stream, *m_head_serializer,
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        self->Guard([&] { self->OnWritten(error); });
      });
}

void CallerConnection::SendEvents(std::string_view events) {
  if (m_closed || m_is_head) {
    return;
  }
  AppendChunk(m_waiting_events, events);
  if (m_waiting_events.size() + m_events_being_written.size() > m_limits.most_unsent_bytes) {
    m_owner.CountConnectionEvent("callers_cut_off_as_slow_readers");
    Close();
  } else if (!m_writing) {
    WriteEvents();
  }
}

void CallerConnection::EndEvents() {
  if (m_closed) {
    return;
  }
  m_answer_ended = true;
  if (!m_writing) {
    WriteEndOfEvents();
  }
}

void CallerConnection::CutOff() {
  m_exchange.reset();
  Close();
}

void CallerConnection::WriteEvents() {
  // Nearly always the socket takes a token's event at once. An asynchronous write for each would
  // cost a timer, a handler and another turn of the loop, more than the rest of the token's way.
  const std::size_t sent = SendWithoutWaiting(m_stream.socket(), m_waiting_events);
  if (sent == m_waiting_events.size()) {
    m_waiting_events.clear();
    return;
  }
  m_waiting_events.erase(0, sent);
  m_writing = true;
  m_events_being_written = std::exchange(m_waiting_events, {});
  m_stream.expires_after(m_limits.write_timeout);
  asio::async_write(
      m_stream, asio::buffer(m_events_being_written),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        self->m_events_being_written.clear();
        self->Guard([&] { self->OnWritten(error); });
      });
}

void CallerConnection::WriteEndOfEvents() {
  m_writing = true;
  m_head_serializer.reset();
  if (m_is_head) {
    asio::post(m_stream.get_executor(),
               [self = shared_from_this()] { self->Guard([&] { self->OnWritten({}); }); });
    return;
  }
  m_stream.expires_after(m_limits.write_timeout);
  asio::async_write(
      m_stream, http::make_chunk_last(),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        self->Guard([&] { self->OnWritten(error); });
      });
}

void CallerConnection::OnWritten(const boost::system::error_code& error) {
  m_writing = false;
  if (m_closed) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (!m_waiting_events.empty()) {
    WriteEvents();
  }
  if (m_writing || !m_answer_ended) {
    return;
  }
  if (m_head_serializer) {
    WriteEndOfEvents();
  } else {
    FinishRequest();
  }
}

void CallerConnection::FinishRequest() {
  m_exchange.reset();
  FreeText(m_waiting_events);
  FreeText(m_events_being_written);
  FreeText(m_response.body());
  if (m_keep_alive && !m_owner.IsDraining()) {
    WaitForRequest();
    return;
  }
  // Shutting down the sending side first lets the caller read the whole answer: closing with unread
  // bytes of the caller would reset the connection and may take the answer with it.
  boost::system::error_code ignored;
  m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  m_stream.expires_after(kLingerTime);
  m_buffer.clear();
  LingerThenClose();
}

void CallerConnection::LingerThenClose() {
  m_stream.async_read_some(
      m_buffer.prepare(kReadBytes),
      [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        if (error || self->m_closed) {
          self->Close();
          return;
        }
        self->LingerThenClose();
      });
}

void CallerConnection::CloseIfIdle() {
  if (m_is_idle && !HasUnreadBytes(m_stream.socket())) {
    Close();
  }
}

void CallerConnection::Close() {
  if (std::exchange(m_closed, true)) {
    return;
  }
  const auto self = shared_from_this();
  m_is_idle = false;
  m_timer.cancel();
  m_stream.close();
  if (const auto exchange = std::exchange(m_exchange, nullptr)) {
    exchange->OnCallerGone();
  }
  m_owner.OnConnectionClosed(*this);
}

}  // namespace zinnia
