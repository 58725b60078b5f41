#include "zinnia_adapters/http/backend_connection.h"

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/write.hpp>
#include <cassert>
#include <utility>

namespace zinnia {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr AnswerLimits kAnswerLimits{.body_bytes = std::size_t{64} << 20};
constexpr std::size_t kReadBytes = 32'768;

}  // namespace

std::shared_ptr<BackendConnection> BackendConnection::Create(asio::io_context& loop,
                                                             NetworkAddress address) {
  return std::shared_ptr<BackendConnection>(new BackendConnection(loop, std::move(address)));
}

BackendConnection::BackendConnection(asio::io_context& loop, NetworkAddress address)
    : m_stream(loop.get_executor()), m_address(std::move(address)) {}

void BackendConnection::Exchange(BackendRequest request, Duration timeout, Callback callback) {
  assert(!m_busy && "one exchange at a time: wait for the callback of the one before");
  m_busy = true;
  m_request = std::move(request);
  m_request.set(http::field::host, m_address.ToString());
  m_request.prepare_payload();
  m_stream.expires_after(timeout);
  if (m_connected) {
    Write(std::move(callback));
  } else {
    Connect(std::move(callback));
  }
}

void BackendConnection::Connect(Callback callback) {
  boost::system::error_code address_error;
  const auto ip = asio::ip::make_address(m_address.ip, address_error);
  if (address_error || m_closed) {
    FinishLater(ExchangeFailure::kUnreachable, std::move(callback));
    return;
  }
  m_stream.async_connect(
      asio::ip::tcp::endpoint(ip, m_address.port),
      [self = shared_from_this(),
       callback = std::move(callback)](const boost::system::error_code& error) mutable {
        if (error) {
          const bool refused = error == asio::error::connection_refused;
          self->Finish(refused ? ExchangeFailure::kRefused : ExchangeFailure::kUnreachable,
                       callback);
          return;
        }
        boost::system::error_code ignored;
        self->m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_connected = true;
        self->Write(std::move(callback));
      });
}

void BackendConnection::Write(Callback callback) {
  if (m_may_send && !m_may_send()) {
    FinishLater(ExchangeFailure::kUnreachable, std::move(callback));
    return;
  }
  http::async_write(m_stream, m_request,
                    [self = shared_from_this(), callback = std::move(callback)](
                        const boost::system::error_code& error, std::size_t) mutable {
                      if (error) {
                        self->Fail(error, callback);
                        return;
                      }
                      self->m_reader.emplace(kAnswerLimits,
                                             self->m_request.method() == http::verb::head);
                      self->m_body.clear();
                      self->Read(std::move(callback));
                    });
}

void BackendConnection::Read(Callback callback) {
  m_stream.async_read_some(m_buffer.prepare(kReadBytes),
                           [self = shared_from_this(), callback = std::move(callback)](
                               const boost::system::error_code& error, std::size_t bytes) mutable {
                             self->OnRead(error, bytes, std::move(callback));
                           });
}

void BackendConnection::OnRead(const boost::system::error_code& error,
                               std::size_t bytes,
                               Callback callback) {
  m_buffer.commit(bytes);
  if (error && error != asio::error::eof) {
    Fail(error, callback);
    return;
  }
  if (error ? m_reader->ReadEnd() : m_reader->Read(m_buffer)) {
    Finish(ExchangeFailure::kLost, callback);
    return;
  }
  m_body += m_reader->TakeBody();
  if (m_reader->IsDone()) {
    Finish(ExchangeFailure::kNone, callback);
  } else {
    Read(std::move(callback));
  }
}

BackendResponse BackendConnection::TakeResponse() {
  BackendResponse response;
  static_cast<AnswerReader::Fields&>(response.base()) = m_reader->Head();
  response.result(m_reader->Status());
  response.body() = std::exchange(m_body, {});
  return response;
}

void BackendConnection::Fail(const boost::system::error_code& error, const Callback& callback) {
  Finish(error == beast::error::timeout ? ExchangeFailure::kTimedOut : ExchangeFailure::kLost,
         callback);
}

void BackendConnection::FinishLater(ExchangeFailure failure, Callback callback) {
  asio::post(m_stream.get_executor(),
             [self = shared_from_this(), failure, callback = std::move(callback)] {
               self->Finish(failure, callback);
             });
}

void BackendConnection::Finish(ExchangeFailure failure, const Callback& callback) {
  ExchangeOutcome outcome;
  outcome.failure = failure;
  m_busy = false;
  m_stream.expires_never();
  if (failure == ExchangeFailure::kNone) {
    // Bytes that are left belong to no request; the next one would take them for its answer.
    const bool keep = m_reader->KeepsConnection() && m_buffer.size() == 0;
    outcome.response = TakeResponse();
    if (!keep) {
      Close();
    }
  } else {
    Close();
  }
  callback(std::move(outcome));
}

bool BackendConnection::IsReusable() {
  if (m_closed || m_busy) {
    return false;
  }
  if (!m_connected) {
    return true;
  }
  char byte = 0;
  const auto got = recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void BackendConnection::Close() {
  m_closed = true;
  m_connected = false;
  m_stream.close();
}

}  // namespace zinnia
