#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** A backend server on the test's own loop that does what the test's script says with each request:
    answer it, hold it, or drop its connection. */
class ScriptedServer {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  /** One received request. Answer it once, or drop the connection. */
  struct Received {
    Request request;
    std::function<void(unsigned status, std::string body)> answer;
    std::function<void()> drop;
  };

  using Script = std::function<void(Received)>;

  ScriptedServer(boost::asio::io_context& loop, Script script)
      : m_loop(loop), m_script(std::move(script)) {
    Listen(0);
  }

  NetworkAddress Address() const { return {"127.0.0.1", m_port}; }

  /** Closes the port and all connections, as a process that dies does. */
  void Crash() {
    m_acceptor->close();
    for (const auto& connection : std::exchange(m_connections, {})) {
      connection->socket.close();
    }
  }

  void Restart() { Listen(m_port); }

  std::vector<std::string> targets;

  /** Headers of every response, beside the usual ones. */
  std::map<std::string, std::string> response_headers;

 private:
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    Request request;
    boost::beast::http::response<boost::beast::http::string_body> response;
  };

  using ConnectionPointer = std::shared_ptr<Connection>;

  void Listen(std::uint16_t port) {
    using boost::asio::ip::tcp;
    m_acceptor = std::make_unique<tcp::acceptor>(
        m_loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), port), true);
    m_port = m_acceptor->local_endpoint().port();
    Accept();
  }

  void Accept() {
    m_acceptor->async_accept([this](boost::system::error_code error, auto socket) {
      if (!error) {
        m_connections.push_back(std::make_shared<Connection>(std::move(socket)));
        Read(m_connections.back());
        Accept();
      }
    });
  }

  void Read(const ConnectionPointer& connection) {
    connection->request = {};
    boost::beast::http::async_read(
        connection->socket, connection->buffer, connection->request,
        [this, connection](boost::system::error_code error, std::size_t) {
          if (!error) {
            targets.emplace_back(connection->request.target());
            m_script({std::move(connection->request),
                      [this, connection](unsigned status, std::string body) {
                        Answer(connection, status, std::move(body));
                      },
                      [connection] { connection->socket.close(); }});
          }
        });
  }

  void Answer(const ConnectionPointer& connection, unsigned status, std::string body) {
    connection->response = {static_cast<boost::beast::http::status>(status), 11};
    connection->response.set("Content-Type", "application/json");
    for (const auto& [name, value] : response_headers) {
      connection->response.set(name, value);
    }
    connection->response.body() = std::move(body);
    connection->response.prepare_payload();
    boost::beast::http::async_write(
        connection->socket, connection->response,
        [this, connection](boost::system::error_code error, std::size_t) {
          if (!error) {
            Read(connection);
          }
        });
  }

  boost::asio::io_context& m_loop;
  Script m_script;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
  std::vector<ConnectionPointer> m_connections;
  std::uint16_t m_port = 0;
};

}  // namespace zinnia
