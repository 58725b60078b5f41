#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "operators/fake_desk.h"
#include "zinnia_adapters/metrics/histogram_metrics.h"
#include "zinnia_adapters/operators/operator_client.h"
#include "zinnia_adapters/operators/operator_server.h"
#include "zinnia_adapters/operators/readiness_probe.h"

using namespace zinnia;  // NOLINT(google-build-using-namespace)
using boost::asio::ip::tcp;

namespace {

constexpr const char* kKey = "0123456789abcdef";

class FakeProbe final : public ReadinessProbe {
 public:
  Result<void> CheckReady() const override {
    if (is_ready) {
      return {};
    }
    return MakeError(ErrorKind::kDraining, "this instance is leaving");
  }
  bool is_ready = true;
};

/** A server on a thread of its own, and ways to speak to it. */
struct RunningServer {
  explicit RunningServer(const OperatorServerOptions& options) {
    server = OperatorServer::Start(io_context, options, desk, metrics, probe).value();
    thread = std::jthread([this] { io_context.run(); });
  }
  ~RunningServer() { io_context.stop(); }

  tcp::socket Connect() {
    tcp::socket socket(client_context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), server->port()});
    return socket;
  }

  static std::string ReadAll(tcp::socket& socket) {
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  std::string Send(const std::string& bytes) {
    tcp::socket socket = Connect();
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    return ReadAll(socket);
  }

  std::string Call(const std::string& start_line, const std::string& body, const char* key = kKey) {
    return Send(start_line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " +
                key + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  OperatorClient Client(const char* key = kKey) const {
    return OperatorClient::Create("http://127.0.0.1:" + std::to_string(server->port()), key)
        .value();
  }

  boost::asio::io_context client_context;
  boost::asio::io_context io_context;
  FakeDesk desk;
  HistogramMetrics metrics;
  FakeProbe probe;
  std::unique_ptr<OperatorServer> server;
  std::jthread thread;
};

OperatorServerOptions DefaultOptions() {
  OperatorServerOptions options;
  options.address = {"127.0.0.1", 0};
  options.operator_key = kKey;
  options.change_id_prefix = "i-1-7";
  return options;
}

void CheckStatus(const char* status, const char* text, const std::string& answer) {
  STRCMP_CONTAINS(("HTTP/1.1 " + std::string(status)).c_str(), answer.c_str());
  STRCMP_CONTAINS(text, answer.c_str());
}

}  // namespace

TEST_GROUP(OperatorServer){};

TEST(OperatorServer, RunsCommands) {
  RunningServer running(DefaultOptions());
  running.desk.table = {{"name"}, {{"b-1"}}};
  const std::string answer =
      running.Call("POST /v1/commands", R"({"command":"show sessions","format":"json"})");
  CheckStatus("200", "\r\n\r\n{\"rows\":[{\"name\":\"b-1\"}]}\n", answer);
  STRCMP_CONTAINS("application/json", answer.c_str());
  CheckStatus("200", "name\nb-1\n1 row\n",
              running.Call("POST /v1/commands", R"({"command":"show sessions"})"));
}

TEST(OperatorServer, TheClientReadsAnswersAndErrors) {
  RunningServer running(DefaultOptions());
  const OperatorClient client = running.Client();
  LONGS_EQUAL(41, client.ReadRevision().value());
  STRCMP_EQUAL("organisation/x accepted as revision 42\n",
               client
                   .RunCommand("change organisation x set weight = 2 against 41",
                               OutputFormat::kTable, "change-9")
                   .value()
                   .c_str());
  STRCMP_EQUAL("change-9", running.desk.changes.front().change_id.c_str());
  STRCMP_EQUAL("127.0.0.1", running.desk.changes.front().who.c_str());
  const auto refused = client.RunCommand("change organisation x set weight = 2 against 39",
                                         OutputFormat::kTable, "change-10");
  CHECK(refused.error().kind == ErrorKind::kRevisionConflict);
  STRCMP_CONTAINS("the newest revision is 42", refused.error().message.c_str());
  STRCMP_CONTAINS("read the newer revision", refused.error().remedy.c_str());
}

TEST(OperatorServer, AnUnreachableServerIsCertainlyNotRun) {
  std::uint16_t port = 0;
  {
    const RunningServer running(DefaultOptions());
    port = running.server->port();
  }
  const auto client =
      OperatorClient::Create("http://127.0.0.1:" + std::to_string(port), kKey).value();
  const auto answer = client.RunCommand("show sessions", OutputFormat::kTable, "c");
  CHECK(answer.error().kind == ErrorKind::kPeerUnavailable);
  CHECK(answer.error().was_run == WasRun::kNo);
}

TEST(OperatorServer, AsksForTheKey) {
  RunningServer running(DefaultOptions());
  for (const char* key : {"", "0123456789abcdeX", "0123456789abcde", "0123456789abcdeff"}) {
    for (const char* call : {"POST /v1/commands", "GET /metrics", "GET /v1/revision"}) {
      CheckStatus("401", "operator_key_file", running.Call(call, "{}", key));
    }
  }
  CHECK(!running.desk.asked_table.has_value());
  CheckStatus("200", "ok\n", running.Call("GET /healthz", "", ""));
  CheckStatus("200", "ready\n", running.Call("GET /ready", "", ""));
}

TEST(OperatorServer, MetricsCanBeOpen) {
  OperatorServerOptions options = DefaultOptions();
  options.metrics_need_key = false;
  RunningServer running(options);
  running.metrics.Count("calls");
  CheckStatus("200", "zinnia_calls_total 1\n", running.Call("GET /metrics", "", ""));
  CheckStatus("200", "zinnia_calls_total 1\n", running.Call("GET /metrics?organisation=a", "", ""));
}

TEST(OperatorServer, SaysWhenItIsNotReady) {
  RunningServer running(DefaultOptions());
  running.probe.is_ready = false;
  CheckStatus("503", "\"kind\":\"draining\"", running.Call("GET /ready", "", ""));
}

TEST(OperatorServer, RefusesBadBodies) {
  RunningServer running(DefaultOptions());
  const char* calls[][2] = {
      {"{", "not a JSON object"},
      {"[]", "not a JSON object"},
      {R"({"command":3})", "command must be a string"},
      {R"({"command":"help","fromat":"json"})", "fromat is not a known field"},
      {R"({"command":"help","format":"xml"})", "format must be table or json"},
      {R"({"command":"shw"})", "\"kind\":\"invalid_command\""},
  };
  for (const auto& call : calls) {
    CheckStatus("400", call[1], running.Call("POST /v1/commands", call[0]));
  }
  CheckStatus("404", "POST /v1/commands", running.Call("GET /v1/nothing", ""));
  CheckStatus("400", "not HTTP/1.1", running.Send("nonsense\r\n\r\n"));
}

TEST(OperatorServer, RefusesWhatIsTooLarge) {
  OperatorServerOptions options = DefaultOptions();
  options.max_body_bytes = 1'000;
  RunningServer running(options);
  CheckStatus("413", "\"kind\":\"payload_too_large\"",
              running.Call("POST /v1/commands", std::string(300'000, 'x')));
  CheckStatus("413", "\"kind\":\"payload_too_large\"",
              running.Call("GET /" + std::string(20'000, 'x'), ""));
}

TEST(OperatorServer, ARefusedRequestIsNotReset) {
  // Symptom: the client of a refused request sees a reset instead of the answer that says why.
  // Sequence: the server answers 413 and closes while most of the body is still on its way.
  // Cause: closing a socket with unread bytes makes the kernel send a reset, after which a lost
  // packet of the answer is not sent again.
  OperatorServerOptions options = DefaultOptions();
  options.max_body_bytes = 1'000;
  RunningServer running(options);
  tcp::socket socket = running.Connect();
  const std::string part(100'000, 'x');
  boost::asio::write(socket, boost::asio::buffer("POST /v1/commands HTTP/1.1\r\nHost: x\r\n"
                                                 "Content-Length: 400000\r\n\r\n" +
                                                 part));
  CheckStatus("413", "payload_too_large", RunningServer::ReadAll(socket));
  boost::system::error_code error;
  for (int index = 0; index < 3 && !error; ++index) {
    boost::asio::write(socket, boost::asio::buffer(part), error);
  }
  STRCMP_EQUAL("Success", error.message().c_str());
}

TEST(OperatorServer, ACommandThatIsNotAnsweredInTimeIsUnknown) {
  // Symptom: an operator's tool hangs, or says "failed" of a change that then takes effect.
  // Sequence: the store is down; the desk keeps the change and answers long after, or never.
  // Cause: no bound on the wait, or a timeout reported as if it had undone the change.
  OperatorServerOptions options = DefaultOptions();
  options.command_timeout = std::chrono::milliseconds(10);
  RunningServer running(options);
  running.desk.holds_answers = true;
  const std::string answer =
      running.Call("POST /v1/commands", R"({"command":"remove organisation x against 41"})");
  CheckStatus("504", "\"was_run\":\"unknown\"", answer);
  running.desk.held(ConfigurationRevision{42});
  CheckStatus("200", "ok\n", running.Call("GET /healthz", ""));
}

TEST(OperatorServer, ALateAnswerDoesNotAnswerTheNextRequest) {
  // Symptom: an operator reads the outcome of another command than the one just sent.
  // Sequence: a command times out; the next one on the same connection waits; the first one's
  // answer arrives now.
  // Cause: answers matched to the connection instead of to the request.
  OperatorServerOptions options = DefaultOptions();
  options.command_timeout = std::chrono::milliseconds(10);
  RunningServer running(options);
  running.desk.holds_answers = true;
  tcp::socket socket = running.Connect();
  const std::string body = R"({"command":"remove organisation x against 41"})";
  const std::string request =
      "POST /v1/commands HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + std::string(kKey) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  boost::asio::write(socket, boost::asio::buffer(request));
  std::string first(1, '\0');
  boost::asio::read(socket, boost::asio::buffer(first));  // The first command has timed out.
  // The desk answers the first one when the second reaches it.
  boost::asio::write(socket, boost::asio::buffer(request));
  socket.shutdown(tcp::socket::shutdown_send);
  const std::string answers = first + RunningServer::ReadAll(socket);
  CHECK(answers.find("accepted") == std::string::npos);
  CHECK(answers.find("504") != answers.rfind("504"));
}

TEST(OperatorServer, ConnectionsAreBounded) {
  OperatorServerOptions options = DefaultOptions();
  options.max_connections = 2;
  RunningServer running(options);
  std::vector<tcp::socket> idle;
  idle.reserve(2);
  for (int index = 0; index < 2; ++index) {
    idle.push_back(running.Connect());
  }
  CheckStatus("503", "too many connections", running.Call("GET /healthz", ""));
}

TEST(OperatorServer, AnAddressInUseIsNamed) {
  RunningServer running(DefaultOptions());
  OperatorServerOptions options = DefaultOptions();
  options.address.port = running.server->port();
  const auto second = OperatorServer::Start(running.io_context, options, running.desk,
                                            running.metrics, running.probe);
  STRCMP_CONTAINS("operators_address: cannot listen on 127.0.0.1:", second.error().message.c_str());
}
