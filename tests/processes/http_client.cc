#include "http_client.h"

#include <utility>

namespace zinnia::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;

HttpClient::HttpClient(std::string address) : m_address(std::move(address)) {}

HttpAnswer HttpClient::Get(std::string_view target) {
  return Call({http::verb::get, target, 11}, nullptr);
}

HttpAnswer HttpClient::Post(std::string_view target, std::string body) {
  return PostStream(target, std::move(body), nullptr);
}

HttpAnswer HttpClient::PostStream(std::string_view target,
                                  std::string body,
                                  std::function<bool(const std::string& body)> on_body) {
  return Call({http::verb::post, target, 11, std::move(body)}, std::move(on_body));
}

HttpAnswer HttpClient::Call(Request request, std::function<bool(const std::string& body)> on_body) {
  for (const auto& header : m_headers) {
    request.set(header.name_string(), header.value());
  }
  request.set(http::field::host, m_address);
  request.prepare_payload();
  HttpAnswer answer;
  asio::co_spawn(m_context, Exchange(request, answer, on_body), asio::detached);
  m_context.restart();
  m_context.run_for(m_timeout);
  if (!answer.whole) {
    boost::system::error_code ignored;
    if (m_socket) {
      m_socket->close(ignored);  // what still waits on it ends with an error in the run below
    }
    m_context.restart();
    m_context.run();
    m_socket.reset();
  }
  return answer;
}

asio::awaitable<void> HttpClient::Exchange(Request& request,
                                           HttpAnswer& answer,
                                           std::function<bool(const std::string& body)>& on_body) {
  try {
    if (!m_socket) {
      const std::size_t colon = m_address.rfind(':');
      m_socket.emplace(m_context);
      co_await m_socket->async_connect(
          {asio::ip::make_address(m_address.substr(0, colon)),
           static_cast<std::uint16_t>(std::stoul(m_address.substr(colon + 1)))},
          asio::use_awaitable);
    }
    co_await http::async_write(*m_socket, request, asio::use_awaitable);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    while (!parser.is_done()) {
      co_await http::async_read_some(*m_socket, buffer, parser, asio::use_awaitable);
      if (parser.is_header_done()) {
        answer.status = parser.get().result_int();
        answer.headers = parser.get();
        answer.body = parser.get().body();
      }
      if (on_body && !on_body(answer.body)) {
        co_return;
      }
    }
    answer.whole = true;
    if (!parser.get().keep_alive()) {
      m_socket.reset();
    }
  } catch (const boost::system::system_error&) {
    co_return;  // the answer says how far it came
  }
}

}  // namespace zinnia::testing
