#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** An engine on a thread of its own that answers each step at once with a fixed state. It counts
    the steps instead of parsing them, so that the link under measurement is the slower side. */
class AnsweringEngine {
 public:
  explicit AnsweringEngine(std::size_t state_bytes)
      : m_answer(R"({"status":"done","attempt":1,"length":10,"prompt_tokens":0,"states":[")" +
                 std::string(state_bytes, 'h') + R"("],"token":null},)"),
        m_acceptor(m_loop, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
    m_thread = std::thread([this] { m_loop.run(); });
  }

  ~AnsweringEngine() {
    m_loop.stop();
    m_thread.join();
  }

  NetworkAddress Address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

 private:
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::string_body> request;
    boost::beast::http::response<boost::beast::http::string_body> response;
  };

  void Accept() {
    m_acceptor.async_accept([this](boost::system::error_code error, auto socket) {
      if (!error) {
        socket.set_option(boost::asio::ip::tcp::no_delay(true));
        Read(std::make_shared<Connection>(std::move(socket)));
        Accept();
      }
    });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    connection->request = {};
    connection->buffer.reserve(32'768);
    boost::beast::http::async_read(
        connection->socket, connection->buffer, connection->request,
        [this, connection](boost::system::error_code error, std::size_t) {
          if (!error) {
            Answer(connection);
          }
        });
  }

  void Answer(const std::shared_ptr<Connection>& connection) {
    connection->response = {boost::beast::http::status::ok, 11};
    connection->response.body() = connection->request.target() == "/v1/steps"
                                      ? MakeAnswers(connection->request.body())
                                      : std::string(R"({"incarnation":1})");
    connection->response.prepare_payload();
    boost::beast::http::async_write(
        connection->socket, connection->response,
        [this, connection](boost::system::error_code error, std::size_t) {
          if (!error) {
            Read(connection);
          }
        });
  }

  std::string MakeAnswers(const std::string& body) const {
    std::string answers = R"({"load":{"running":1,"queued":0},"answers":[)";
    constexpr std::string_view kStep = "{\"session\"";
    for (auto at = body.find(kStep); at != std::string::npos;
         at = body.find(kStep, at + kStep.size())) {
      answers += m_answer;
    }
    answers.back() = ']';
    return answers + "}";
  }

  std::string m_answer;
  boost::asio::io_context m_loop{1};
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::thread m_thread;
};

}  // namespace zinnia
