#include "zinnia_adapters/operators/operator_connection.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "zinnia_adapters/http/message_reading.h"

namespace zinnia {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

std::string PeerOf(const beast::tcp_stream& stream) {
  error_code error;
  const auto endpoint = stream.socket().remote_endpoint(error);
  return error ? "unknown" : endpoint.address().to_string();
}

}  // namespace

OperatorConnection::OperatorConnection(boost::asio::ip::tcp::socket socket,
                                       std::shared_ptr<OperatorServerState> state)
    : m_state(std::move(state)),
      m_stream(std::move(socket)),
      m_command_timer(m_stream.get_executor()) {
  ++m_state->connections;
}

OperatorConnection::~OperatorConnection() {
  --m_state->connections;
}

void OperatorConnection::Serve() {
  boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->Read(); });
}

void OperatorConnection::Refuse() {
  Error error = MakeError(ErrorKind::kOverloaded, "too many connections to the operators' server");
  error.remedy = "close idle connections and come back in a few seconds";
  boost::asio::post(m_stream.get_executor(),
                    [self = shared_from_this(), error] { self->Write(ToResponse(error), false); });
}

void OperatorConnection::Read() {
  m_parser.emplace();
  m_parser->body_limit(m_state->options.max_body_bytes);
  m_parser->header_limit(static_cast<std::uint32_t>(m_state->options.max_header_bytes));
  m_stream.expires_after(m_state->options.transfer_timeout);
  ReadRequest(m_stream, m_buffer, *m_parser, RequestPart::kWhole,
              [self = shared_from_this()](const error_code& error) { self->OnRead(error); });
}

void OperatorConnection::OnRead(const error_code& error) {
  if (error) {
    OnReadError(error);
    return;
  }
  Dispatch();
}

void OperatorConnection::OnReadError(const error_code& error) {
  if (error == http::error::body_limit || error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    Write(ToResponse(MakeError(ErrorKind::kPayloadTooLarge,
                               "the request is too large: " + error.message())),
          false);
    return;
  }
  const bool peer_is_gone = error == http::error::end_of_stream ||
                            error == http::error::partial_message || error == beast::error::timeout;
  if (peer_is_gone || error.category() != make_error_code(http::error::bad_method).category()) {
    Close();
    return;
  }
  Write(ToResponse(MakeError(ErrorKind::kInvalidRequest, "not HTTP/1.1: " + error.message())),
        false);
}

void OperatorConnection::Dispatch() {
  const auto& message = m_parser->get();
  const OperatorRequest request{std::string(message.method_string()), std::string(message.target()),
                                std::string(message[http::field::authorization]), PeerOf(m_stream),
                                message.body()};
  const std::uint64_t number = ++m_requests;
  m_waiting_for = number;
  // The stream's own timeout would close the connection while the desk still works.
  m_stream.expires_never();
  StartCommandTimer(number);
  // The desk may answer on its own thread, or never; Answer runs on the strand and only once.
  m_state->api.Handle(request, [self = shared_from_this(), number](OperatorResponse response) {
    boost::asio::post(
        self->m_stream.get_executor(),
        [self, number, response = std::move(response)] { self->Answer(number, response); });
  });
}

void OperatorConnection::StartCommandTimer(std::uint64_t request) {
  m_command_timer.expires_after(m_state->options.command_timeout);
  m_command_timer.async_wait([self = shared_from_this(), request](const error_code& error) {
    if (!error) {
      Error timeout = MakeError(ErrorKind::kOutcomeUnknown,
                                "the command did not end in time; it may still take effect");
      timeout.remedy = "look with 'show configuration' before sending it again";
      timeout.was_run = WasRun::kUnknown;
      self->Answer(request, ToResponse(timeout));
    }
  });
}

void OperatorConnection::Answer(std::uint64_t request, const OperatorResponse& response) {
  if (m_waiting_for != request) {
    return;
  }
  m_waiting_for = 0;
  m_command_timer.cancel();
  Write(response, m_parser->get().keep_alive());
}

void OperatorConnection::Write(const OperatorResponse& response, bool keep_alive) {
  constexpr unsigned kHttpVersion = 11;
  m_response = {http::int_to_status(response.status), kHttpVersion};
  m_response.set(http::field::content_type, response.content_type);
  m_response.set(http::field::cache_control, "no-store");
  m_response.keep_alive(keep_alive);
  m_response.body() = response.body;
  m_response.prepare_payload();
  m_stream.expires_after(m_state->options.transfer_timeout);
  http::async_write(m_stream, m_response,
                    [self = shared_from_this(), keep_alive](const error_code& error, std::size_t) {
                      self->OnWritten(keep_alive, error);
                    });
}

void OperatorConnection::OnWritten(bool keep_alive, const error_code& error) {
  if (error || !keep_alive) {
    Close();
    return;
  }
  Read();
}

/** Closing with unread bytes makes the kernel send a reset, and the client may lose the answer that
    says why its request was refused. So the rest is read and dropped, for a short time. */
void OperatorConnection::Close() {
  constexpr std::chrono::seconds kLingerTime{2};
  error_code ignored;
  m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  m_stream.expires_after(kLingerTime);
  Discard();
}

void OperatorConnection::Discard() {
  m_stream.async_read_some(boost::asio::buffer(m_discarded),
                           [self = shared_from_this()](const error_code& error, std::size_t) {
                             if (!error) {
                               self->Discard();
                             }
                           });
}

}  // namespace zinnia
