#include "zinnia_adapters/http/backend_connection.h"

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cassert>
#include <utility>

namespace zinnia {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t kMostResponseBytes = 64U << 20U;

// Beast reads as much at once as the buffer has room for, which is 512 bytes in a new one: a long
// body would take a system call for each of them.
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
                      self->Read(std::move(callback));
                    });
}

void BackendConnection::Read(Callback callback) {
  m_buffer.reserve(kReadBytes);
  m_parser.emplace();
  m_parser->body_limit(kMostResponseBytes);
  if (m_request.method() == http::verb::head) {
    m_parser->skip(true);
  }
  http::async_read(m_stream, m_buffer, *m_parser,
                   [self = shared_from_this(), callback = std::move(callback)](
                       const boost::system::error_code& error, std::size_t) {
                     if (error) {
                       self->Fail(error, callback);
                       return;
                     }
                     self->Finish(ExchangeFailure::kNone, callback);
                   });
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
    const bool keep = m_parser->keep_alive();
    outcome.response = m_parser->release();
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
