#include "zinnia_adapters/forwarding/text_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

#include "zinnia_adapters/http/listening_socket.h"
#include "zinnia_adapters/http/message_reading.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr Duration kIdleLimit = std::chrono::seconds(30);
constexpr std::uint32_t kMostHeaderBytes = 8'192;

}  // namespace

/** One connection; pending operations keep it alive. */
class TextServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, std::shared_ptr<const Handler> handler)
      : m_stream(std::move(socket)), m_handler(std::move(handler)) {}

  void Read() {
    m_parser.emplace();
    m_parser->header_limit(kMostHeaderBytes);
    m_stream.expires_after(kIdleLimit);
    ReadRequest(m_stream, m_buffer, *m_parser, RequestPart::kWhole,
                [self = shared_from_this()](const beast::error_code& error) {
                  if (!error) {
                    self->Answer();
                  }
                });
  }

 private:
  void Answer() {
    const auto& request = m_parser->get();
    const std::string_view target = request.target();
    const TextServer::Answer answer = (*m_handler)(std::string(target.substr(0, target.find('?'))));
    m_response = {};
    m_response.result(answer.status);
    m_response.set(http::field::content_type, "text/plain; charset=utf-8");
    m_response.keep_alive(request.keep_alive());
    m_response.body() = answer.body;
    m_response.prepare_payload();
    http::async_write(m_stream, m_response,
                      [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                        if (!error && self->m_response.keep_alive()) {
                          self->Read();
                        }
                      });
  }

  beast::tcp_stream m_stream;
  const std::shared_ptr<const Handler> m_handler;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::empty_body>> m_parser;
  http::response<http::string_body> m_response;
};

Result<std::unique_ptr<TextServer>> TextServer::Create(asio::io_context& loop,
                                                       const NetworkAddress& address,
                                                       Handler handler) {
  Result<asio::ip::tcp::acceptor> acceptor = Listen(loop, address);
  if (!acceptor) {
    return acceptor.error();
  }
  std::unique_ptr<TextServer> server(new TextServer(std::move(*acceptor), std::move(handler)));
  server->Accept();
  return server;
}

TextServer::TextServer(asio::ip::tcp::acceptor acceptor, Handler handler)
    : m_acceptor(std::move(acceptor)),
      m_handler(std::make_shared<const Handler>(std::move(handler))) {}

TextServer::~TextServer() = default;

void TextServer::Accept() {
  m_acceptor.async_accept(
      [this, alive = std::weak_ptr<bool>(m_alive)](const boost::system::error_code& error,
                                                   asio::ip::tcp::socket socket) {
        if (alive.expired() || error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          std::make_shared<Session>(std::move(socket), m_handler)->Read();
        }
        Accept();
      });
}

}  // namespace zinnia
