#include <fmt/format.h>

#include <array>
#include <vector>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

namespace asio = boost::asio;

/** A server that keeps what it reads as it is, and answers each request without a body. */
class PlainServer {
 public:
  explicit PlainServer(asio::io_context& loop)
      : m_acceptor(loop, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  NetworkAddress Address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

  std::vector<std::string> heads;

  /** Between the head's other fields and its end. */
  std::string answer_fields;

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    std::array<char, 65'536> buffer{};
    std::string unread;
  };

  void Accept() {
    m_acceptor.async_accept([this](boost::system::error_code error, auto socket) {
      if (!error) {
        Read(std::make_shared<Connection>(std::move(socket)));
        Accept();
      }
    });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [this, connection](boost::system::error_code error, std::size_t bytes) {
          if (error) {
            return;
          }
          connection->unread.append(connection->buffer.data(), bytes);
          if (connection->unread.ends_with("\r\n\r\n")) {
            heads.push_back(std::exchange(connection->unread, {}));
            const std::string answer =
                ForwardingFixture::Head("Content-Length: 0\r\n" + answer_fields);
            asio::write(connection->socket, asio::buffer(answer));
          }
          Read(connection);
        });
  }

  asio::ip::tcp::acceptor m_acceptor;
};

}  // namespace

/** Fields longer than the library's container takes, within the limit of the configuration. */
TEST_GROUP(LongFieldPath) {
  static constexpr std::uint32_t kMostHeaderBytes = 300'000;

  ForwardingFixture f{AnswerLimits{.head_bytes = kMostHeaderBytes}};
  PlainServer server{f.thread.Loop()};

  void setup() override {
    const auto rules = std::make_shared<ForwardingRules>(*f.view->rules);
    rules->caller_bounds.most_header_bytes = kMostHeaderBytes;
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->rules = rules;
    for (auto& [name, entry] : view->servers) {
      entry.address = server.Address();
    }
    f.view = view;
    f.traffic->SetView(view);
  }

  TestCaller& Send(const std::string& fields, const std::string& key = "X-Key: key-1\r\n") {
    f.callers.push_back(std::make_unique<TestCaller>(f.thread.Loop(), f.traffic->Server().Port()));
    f.callers.back()->Send("GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\n" + key + fields +
                           "\r\n");
    return *f.callers.back();
  }

  std::string StatusOf(const TestCaller& caller) {
    CHECK_TRUE(f.Until([&] { return caller.Has("\r\n\r\n") || caller.IsClosed(); }));
    return caller.Received().substr(0, caller.Received().find("\r\n"));
  }

  static std::string Long(char letter, std::size_t size = 70'000) {
    return std::string(size, letter);
  }
};

// Guards against a process that ends by an exception because of a field that the operator allows.
TEST(LongFieldPath, AFieldOfAnyLengthWithinTheLimitReachesTheServer) {
  for (const std::size_t size : {65'532U, 65'533U, 65'534U, 65'536U, 70'000U, 299'000U}) {
    const std::string field = "Cookie: d=" + Long('d', size - 2) + "\r\n";
    STRCMP_EQUAL("HTTP/1.1 200 OK", StatusOf(Send(field)).c_str());
    CHECK_TRUE(server.heads.back().find(field) != std::string::npos);
  }
  const std::string name = Long('n') + ": v\r\n";
  STRCMP_EQUAL("HTTP/1.1 200 OK", StatusOf(Send(name)).c_str());
  CHECK_TRUE(server.heads.back().find(name) != std::string::npos);
  STRCMP_EQUAL("HTTP/1.1 413 Payload Too Large",
               StatusOf(Send("A: " + Long('a', 300'001))).c_str());
}

// Guards against long fields that lose their order or their neighbours of the same name.
TEST(LongFieldPath, FieldsOfTheSameNameKeepTheirOrder) {
  const std::string fields =
      "X-A: first\r\nX-A: " + Long('a') + "\r\nX-A: third\r\nx-a: " + Long('b') + "\r\nX-B:\r\n";
  STRCMP_EQUAL("HTTP/1.1 200 OK", StatusOf(Send(fields)).c_str());
  std::string kept;
  const std::string& head = server.heads.back();
  for (auto at = head.find("\r\nX-A: "); at != std::string::npos;
       at = head.find("\r\nX-A: ", at + 1)) {
    kept += head[at + 7];
  }
  STRCMP_EQUAL("fat", kept.c_str());
  CHECK_TRUE(head.find("x-a: " + Long('b') + "\r\n") != std::string::npos);
}

// Guards against long fields that pass what shorter ones of the same name do not: keys, claims of
// the caller about itself, fields of the connection.
TEST(LongFieldPath, FieldsThatServersMustNotGetAreKeptFromThem) {
  const std::string fields = "X-Organisation: " + Long('o') + "\r\nX-Deadline: " + Long('1') +
                             "\r\nKeep-Alive: " + Long('k') +
                             "\r\nConnection: X-Named\r\nX-Named: " + Long('n') + "\r\n";
  STRCMP_EQUAL("HTTP/1.1 200 OK", StatusOf(Send(fields)).c_str());
  CHECK_TRUE(server.heads.back().size() < 1'000);
  CHECK_TRUE(server.heads.back().find("X-Organisation: hostel\r\n") != std::string::npos);
  STRCMP_EQUAL("HTTP/1.1 401 Unauthorized",
               StatusOf(Send("X-Key: " + Long('k') + "\r\n", "")).c_str());
  STRCMP_EQUAL("HTTP/1.1 400 Bad Request",
               StatusOf(Send("Connection: " + Long('c') + "\r\n")).c_str());
}

// Guards against the same exception for a field of a server's answer.
TEST(LongFieldPath, AnAnswerWithALongFieldIsBrokenOff) {
  server.answer_fields = "X-Long: " + Long('s', 65'533) + "\r\n";
  STRCMP_EQUAL("HTTP/1.1 200 OK", StatusOf(Send("")).c_str());
  server.answer_fields = "X-Long: " + Long('s', 65'534) + "\r\n";
  STRCMP_EQUAL("HTTP/1.1 502 Bad Gateway", StatusOf(Send("")).c_str());
}

}  // namespace zinnia
