#include "zinnia_adapters/operators/operator_client.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "zinnia_adapters/operators/problem_document.h"

namespace zinnia {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using boost::system::error_code;

constexpr std::string_view kScheme = "http://";
constexpr std::chrono::seconds kConnectTimeout{5};
// Longer than the server's bound on a command, so that its answer is heard.
constexpr std::chrono::seconds kAnswerTimeout{45};
constexpr std::size_t kMostAnswerBytes = 268'435'456;

/** One request and its answer over one connection. */
class Exchange {
 public:
  Exchange() : m_stream(m_io_context) {}

  error_code Connect(const NetworkAddress& address) {
    m_stream.expires_after(kConnectTimeout);
    m_stream.async_connect({asio::ip::make_address(address.ip), address.port}, KeepError());
    return Finish();
  }

  error_code Send(const http::request<http::string_body>& request) {
    m_stream.expires_after(kAnswerTimeout);
    http::async_write(m_stream, request,
                      [this](const error_code& error, std::size_t) { m_error = error; });
    return Finish();
  }

  error_code Receive(http::response_parser<http::string_body>& parser) {
    parser.body_limit(kMostAnswerBytes);
    http::async_read(m_stream, m_buffer, parser,
                     [this](const error_code& error, std::size_t) { m_error = error; });
    return Finish();
  }

 private:
  std::function<void(error_code)> KeepError() {
    return [this](const error_code& error) { m_error = error; };
  }

  /** Runs the one pending operation; blocking calls have no timeouts, pending ones have. */
  error_code Finish() {
    m_io_context.restart();
    m_io_context.run();
    return m_error;
  }

  asio::io_context m_io_context;
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  error_code m_error;
};

Error AnswerLost(const NetworkAddress& address, const error_code& error) {
  Error lost = MakeError(ErrorKind::kOutcomeUnknown,
                         fmt::format("no answer from {}: {}", address.ToString(), error.message()));
  lost.was_run = WasRun::kUnknown;
  lost.remedy = "look with 'show configuration', or send a change again with the same --change-id";
  return lost;
}

}  // namespace

Result<OperatorClient> OperatorClient::Create(const std::string& url, std::string operator_key) {
  if (!url.starts_with(kScheme)) {
    return MakeError(ErrorKind::kInvalidSettings, fmt::format("\"{}\" is not http://IP:PORT", url));
  }
  std::string authority = url.substr(kScheme.size());
  if (authority.ends_with('/')) {
    authority.pop_back();
  }
  const Result<NetworkAddress> address = NetworkAddress::Parse(authority);
  if (!address) {
    return address.error();
  }
  return OperatorClient(*address, std::move(operator_key));
}

OperatorClient::OperatorClient(NetworkAddress address, std::string operator_key)
    : m_address(std::move(address)), m_operator_key(std::move(operator_key)) {}

Result<std::string> OperatorClient::RunCommand(const std::string& command,
                                               OutputFormat format,
                                               const std::string& change_id) const {
  const json::object body{
      {"command", command}, {"format", NameOf(format)}, {"change_id", change_id}};
  return Call("POST", "/v1/commands", json::serialize(body));
}

Result<ConfigurationRevision> OperatorClient::ReadRevision() const {
  const Result<std::string> answer = Call("GET", "/v1/revision", "");
  if (!answer) {
    return answer.error();
  }
  error_code error;
  const json::value value = json::parse(*answer, error);
  const json::value* revision =
      !error && value.is_object() ? value.as_object().if_contains("revision") : nullptr;
  if (revision == nullptr || !revision->is_number()) {
    return MakeError(ErrorKind::kInternal, "the answer holds no revision: " + *answer);
  }
  return revision->to_number<ConfigurationRevision>();
}

Result<std::string> OperatorClient::Call(const std::string& method,
                                         const std::string& target,
                                         const std::string& body) const {
  constexpr unsigned kHttpVersion = 11;
  http::request<http::string_body> request(http::string_to_verb(method), target, kHttpVersion);
  request.set(http::field::host, m_address.ToString());
  request.set(http::field::authorization, "Bearer " + m_operator_key);
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  request.body() = body;
  request.prepare_payload();
  Exchange exchange;
  if (const error_code error = exchange.Connect(m_address)) {
    Error unreachable =
        MakeError(ErrorKind::kPeerUnavailable,
                  fmt::format("cannot reach {}: {}", m_address.ToString(), error.message()));
    unreachable.remedy = "check --operators, or name another instance";
    return unreachable;
  }
  http::response_parser<http::string_body> parser;
  // A server that refuses early may close before it has read everything: its answer still counts.
  const error_code send_error = exchange.Send(request);
  if (const error_code error = exchange.Receive(parser)) {
    return AnswerLost(m_address, send_error ? send_error : error);
  }
  if (parser.get().result() != http::status::ok) {
    return ReadProblem(parser.get().body());
  }
  return std::move(parser.get().body());
}

}  // namespace zinnia
