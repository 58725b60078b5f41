#include "http_server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <utility>

namespace zinnia::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint64_t kLargestBody = 256ULL << 20;

}  // namespace

/** Reads one call after another; keeps itself alive through its pending operations. */
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& server, tcp::socket socket)
      : m_server(server), m_socket(std::move(socket)) {}

  void Read() {
    m_parser.emplace();
    m_parser->body_limit(kLargestBody);
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                       if (!error) {
                         self->m_server.Serve(self->TakeCall(), self);
                       }
                     });
  }

  void Write(unsigned status, std::string body) {
    m_response = {};
    m_response.result(status);
    m_response.set(http::field::content_type, "application/json");
    m_response.body() = std::move(body);
    m_response.keep_alive(m_keep_alive);
    m_response.prepare_payload();
    http::async_write(m_socket, m_response,
                      [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                        if (!error && self->m_keep_alive) {
                          self->Read();
                        }
                      });
  }

  void Close() {
    boost::system::error_code ignored;
    m_socket.close(ignored);
  }

 private:
  Call TakeCall() {
    auto request = m_parser->release();
    m_keep_alive = request.keep_alive();
    const std::string target(request.target());
    const std::size_t question = target.find('?');
    return {.method = std::string(request.method_string()),
            .path = target.substr(0, question),
            .query = question == std::string::npos ? "" : target.substr(question + 1),
            .request_id = std::string(request["X-Request-Id"]),
            .body = std::move(request.body())};
  }

  HttpServer& m_server;
  tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  http::response<http::string_body> m_response;
  bool m_keep_alive = true;
};

HttpServer::HttpServer(asio::io_context& context, std::uint16_t port, Standin& standin)
    : m_context(context),
      m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), port)),
      m_standin(standin) {}

void HttpServer::Start() {
  Accept();
}

void HttpServer::Accept() {
  m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
    if (!error) {
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Connection>(*this, std::move(socket))->Read();
    }
    Accept();
  });
}

void HttpServer::Serve(Call call, const std::shared_ptr<Connection>& connection) {
  Reply write = [connection](unsigned status, std::string body) {
    connection->Write(status, std::move(body));
  };
  if (call.path.starts_with("/control")) {
    ServeControl(call, write);
    return;
  }
  ++m_counts[call.path];
  if (TakeFault(m_faults.drop_next, call.path)) {
    connection->Close();
    return;
  }
  if (m_faults.outage) {
    write(503, ErrorBody("unavailable", "outage set through /control"));
    return;
  }
  if (TakeFault(m_faults.lose_answers_next, call.path)) {
    write = [connection](unsigned, const std::string&) { connection->Close(); };
  }
  if (m_faults.delay_ms > 0) {
    auto timer = std::make_shared<asio::steady_timer>(m_context);
    write = [timer, write, delay = std::chrono::milliseconds(m_faults.delay_ms)](
                unsigned status, const std::string& body) {
      timer->expires_after(delay);
      timer->async_wait(
          [timer, write, status, body](boost::system::error_code) { write(status, body); });
    };
  }
  try {
    m_standin.Handle(std::move(call), write);
  } catch (const std::exception& error) {
    write(400, ErrorBody("bad_request", error.what()));
  }
}

void HttpServer::ServeControl(const Call& call, const Reply& reply) {
  if (call.path == "/control/counts") {
    boost::json::object counts;
    for (const auto& [path, count] : m_counts) {
      counts[path] = count;
    }
    reply(200, boost::json::serialize(counts));
    return;
  }
  try {
    if (call.path == "/control") {
      ApplyControl(boost::json::parse(call.body).as_object());
      reply(200, "{}");
    } else {
      m_standin.Handle(call, reply);
    }
  } catch (const std::exception& error) {
    reply(400, ErrorBody("bad_request", error.what()));
  }
}

void HttpServer::ApplyControl(const boost::json::object& settings) {
  ReadNumber(settings, "delay_ms", m_faults.delay_ms);
  ReadNumber(settings, "drop_next", m_faults.drop_next);
  ReadNumber(settings, "lose_answers_next", m_faults.lose_answers_next);
  if (const auto* outage = settings.if_contains("outage")) {
    m_faults.outage = outage->as_bool();
  }
  if (const auto* only = settings.if_contains("only")) {
    m_faults.only = std::string(only->as_string());
  }
  m_standin.Control(settings);
}

bool HttpServer::TakeFault(std::uint64_t& remaining, const std::string& path) const {
  if (remaining == 0 || (!m_faults.only.empty() && m_faults.only != path)) {
    return false;
  }
  --remaining;
  return true;
}

}  // namespace zinnia::standins
