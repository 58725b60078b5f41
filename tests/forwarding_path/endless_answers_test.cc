#include <array>
#include <map>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

namespace {

constexpr int kSendBufferBytes = 64 << 10;
constexpr std::size_t kReadBytes = 16 << 10;

/** What a server may write into the sockets of both sides beyond what is read. */
constexpr std::size_t kSocketBytes = std::size_t{8} << 20;

AnswerLimits SmallLimits() {
  AnswerLimits limits;
  limits.head_bytes = 8 << 10;
  limits.interim_heads = 10;
  limits.interim_bytes = 8 << 10;
  limits.line_bytes = 4 << 10;
  limits.event_bytes = 32 << 10;
  limits.body_bytes = 64 << 10;
  return limits;
}

struct EndlessCase {
  std::string_view name;
  std::string begins;
  std::string goes_on;
  std::string_view bound;

  /** Of the bound, in bytes that the server sends. */
  std::size_t bytes;
  bool is_stream = false;
};

std::vector<EndlessCase> Cases() {
  const AnswerLimits limits = SmallLimits();
  const std::string text(1'000, 'x');
  const std::string chunk = ForwardingFixture::Chunk(text);
  const std::string failure = "HTTP/1.1 500 Failed\r\nX-Id: r-1\r\n";
  const std::string signed_chunks = ForwardingFixture::Head("Transfer-Encoding: chunked\r\n");
  return {
      {"one field", "HTTP/1.1 200 OK\r\nX-A: ", text, "head_bytes", limits.head_bytes},
      {"fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", "head_bytes", limits.head_bytes},
      {"a status line", "HTTP/1.1 200 ", text, "head_bytes", limits.head_bytes},
      {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n", "interim_heads", 275},
      {"long interim heads", "", "HTTP/1.1 103 Hints\r\nX: " + text + "\r\n\r\n", "interim_bytes",
       limits.interim_bytes},
      {"a chunk's extension", signed_chunks + "5;a=", text, "line_bytes", limits.line_bytes},
      {"a trailer", signed_chunks + chunk + "0\r\nX-A: ", text, "line_bytes", limits.line_bytes},
      {"a body in chunks", signed_chunks, chunk, "body_bytes", limits.body_bytes},
      {"a body with a length", ForwardingFixture::Head("Content-Length: 999999999\r\n"), text,
       "body_bytes", limits.body_bytes},
      {"a body to the end", ForwardingFixture::Head(""), text, "body_bytes", limits.body_bytes},
      {"a failure to the end", failure + "\r\n", text, "body_bytes", limits.body_bytes},
      {"a failure in chunks", failure + "Transfer-Encoding: chunked\r\n\r\n", chunk, "body_bytes",
       limits.body_bytes},
      {"an event", signed_chunks, chunk, "event_bytes", limits.event_bytes, true},
      {"events", signed_chunks, ForwardingFixture::Chunk("id: 0\ndata: " + text + "\n\n"),
       "body_bytes", limits.body_bytes, true},
  };
}

/** Writes to a connection without blocking the loop, until the other side closes it. */
class Pourer : public std::enable_shared_from_this<Pourer> {
 public:
  static std::shared_ptr<Pourer> Start(Connection& connection,
                                       const std::string& begins,
                                       std::string goes_on,
                                       std::size_t most = std::string::npos) {
    auto pourer = std::make_shared<Pourer>(connection, std::move(goes_on), most);
    connection.socket.set_option(boost::asio::socket_base::send_buffer_size(kSendBufferBytes));
    connection.Write(begins);
    pourer->Write();
    return pourer;
  }
  Pourer(Connection& connection, std::string goes_on, std::size_t most)
      : m_socket(connection.socket), m_piece(std::move(goes_on)), m_most(most) {}

  bool IsClosed() const { return m_is_closed; }
  std::size_t Written() const { return m_written; }

 private:
  void Write() {
    if (m_written >= m_most) {
      return;
    }
    boost::asio::async_write(m_socket, boost::asio::buffer(m_piece),
                             [self = shared_from_this()](auto error, std::size_t bytes) {
                               self->m_written += bytes;
                               self->m_is_closed = static_cast<bool>(error);
                               if (!error) {
                                 self->Write();
                               }
                             });
  }

  boost::asio::ip::tcp::socket& m_socket;
  const std::string m_piece;
  const std::size_t m_most;
  std::size_t m_written = 0;
  bool m_is_closed = false;
};

}  // namespace

/** A server in trouble may send bytes without end until its connection is closed. */
TEST_GROUP(EndlessAnswerPath){static std::string Whole(const std::string& body){
    return ForwardingFixture::Head(fmt::format("Content-Length: {}\r\n", body.size())) + body;
}  // namespace zinnia

static std::string WholeStream() {
  return ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
         ForwardingFixture::Chunk(ForwardingFixture::Event(1)) + "0\r\n\r\n";
}

/** The first `pouring` attempts get an answer without end, later ones a sound one. */
static std::shared_ptr<std::vector<std::shared_ptr<Pourer>>> Script(ForwardingFixture& f,
                                                                    const EndlessCase& one,
                                                                    std::size_t pouring) {
  auto pourers = std::make_shared<std::vector<std::shared_ptr<Pourer>>>();
  f.Script([=](Connection& connection) {
    if (pourers->size() < pouring) {
      pourers->push_back(Pourer::Start(connection, one.begins, one.goes_on));
    } else {
      connection.Write(one.is_stream ? WholeStream() : Whole("second"));
    }
  });
  return pourers;
}

/** The line names the server, the bound and the bytes, which are hardly beyond the bound. */
static void CheckBrokenOff(ForwardingFixture& f, const EndlessCase& one) {
  const auto line = std::ranges::find_if(f.logger.lines, [](const std::string& text) {
    return text.find("event=answer_broken_off") != std::string::npos;
  });
  CHECK_TRUE_TEXT(line != f.logger.lines.end(), one.name.data());
  STRCMP_CONTAINS_TEXT(" server=", line->c_str(), one.name.data());
  STRCMP_CONTAINS_TEXT(fmt::format(" bound={} bytes=", one.bound).c_str(), line->c_str(),
                       one.name.data());
  const std::string_view field = " bytes=";
  const std::size_t bytes = std::stoul(line->substr(line->find(field) + field.size()));
  // Heads, chunk lines and a last read come on top.
  CHECK_TRUE_TEXT(bytes <= one.bytes + one.bytes / 10 + 2 * kReadBytes,
                  (std::string(one.name) + ": " + *line).c_str());
  CHECK_TRUE_TEXT(f.metrics.Counter(fmt::format("answers_broken_off_{}", one.bound)) > 0,
                  one.name.data());
}
}
;

TEST(EndlessAnswerPath, AnotherServerAnswersIfItMay) {
  for (const EndlessCase& one : Cases()) {
    ForwardingFixture f(SmallLimits());
    const auto pourers = Script(f, one, 1);
    const TestCaller& caller = f.Call(one.is_stream ? "/events/x" : "/safe/x");
    CHECK_TRUE_TEXT(f.Until([&] { return pourers->size() == 1 && pourers->front()->IsClosed(); }),
                    one.name.data());
    CHECK_TRUE_TEXT(pourers->front()->Written() < one.bytes + kSocketBytes, one.name.data());
    const std::string expected = one.is_stream ? "data: e1\n\n\r\n0\r\n\r\n" : "\r\n\r\nsecond";
    CHECK_TRUE_TEXT(f.Until([&] { return caller.Has(expected); }), one.name.data());
    CHECK_EQUAL_TEXT(2U, f.Arrivals(), one.name.data());
    CheckBrokenOff(f, one);
  }
}

TEST(EndlessAnswerPath, ARequestThatMayNotRunTwiceEndsWithTheRemedy) {
  for (const EndlessCase& one : Cases()) {
    ForwardingFixture f(SmallLimits());
    const auto pourers = Script(f, one, 2);
    const TestCaller& caller = f.Call(one.is_stream ? "/events/x" : "/once/x");
    CHECK_TRUE_TEXT(f.Until([&] { return caller.Has("HTTP/1.1 502") || caller.IsClosed(); }),
                    one.name.data());
    CHECK_EQUAL_TEXT(one.is_stream ? 2U : 1U, f.Arrivals(), one.name.data());
    for (const auto& pourer : *pourers) {
      CHECK_TRUE_TEXT(f.Until([&] { return pourer->IsClosed(); }), one.name.data());
    }
    CheckBrokenOff(f, one);
    if (one.is_stream) {
      CHECK_FALSE_TEXT(caller.Has("\r\n0\r\n\r\n"), one.name.data());
    } else {
      CHECK_TRUE_TEXT(caller.Has("HTTP/1.1 502"), one.name.data());
      CHECK_TRUE_TEXT(f.Until([&] {
        return caller.Has(fmt::format("raise the setting answer_{}", one.bound));
      }),
                      (std::string(one.name) + ": " + caller.Received()).c_str());
    }
  }
}

// Guards against a silent server's answer that is kept without a bound while another is tried.
TEST(EndlessAnswerPath, AHeldServerIsLeftToo) {
  ForwardingFixture f(SmallLimits());
  f.SetChains();
  const auto rules = std::make_shared<ForwardingRules>(*f.view->rules);
  for (ForwardRoute& route : rules->routes) {
    route.event_gap_objective = milliseconds(100);
    route.latency_objective = milliseconds(150);
  }
  f.view->rules = rules;
  f.view->routes = std::make_shared<RouteTable>(*rules);
  f.traffic->SetView(f.view);
  f.calls.report = MakeError(ErrorKind::kBackendTimeout, "no report");
  std::vector<Connection*> asked;
  f.Script([&](Connection& connection) { asked.push_back(&connection); });
  const TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return asked.size() == 2; }));
  const EndlessCase one{"held", "", "", "event_bytes", SmallLimits().event_bytes, true};
  const auto pourer =
      Pourer::Start(*asked[0], ForwardingFixture::Head("Transfer-Encoding: chunked\r\n"),
                    ForwardingFixture::Chunk(std::string(1'000, 'x')));
  CHECK_TRUE(f.Until([&] { return pourer->IsClosed(); }));
  CheckBrokenOff(f, one);
  CHECK_FALSE(caller.IsClosed());
  asked[1]->Write(WholeStream());
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e1\n\n\r\n0\r\n\r\n"); }));
}

// Guards against small answers that end since one server sends too much.
TEST(EndlessAnswerPath, BeyondTheSumTheLargestIsLetGo) {
  AnswerLimits limits;
  limits.body_bytes = 600 << 10;
  ForwardingFixture f(limits, 1'000 << 10);
  constexpr std::size_t kLength = 500 << 10;
  const std::string piece(1 << 10, 'x');
  std::map<std::string, Connection*> asked;
  f.Script([&](Connection& connection) {
    asked[std::string(connection.request.target())] = &connection;
    connection.Write(ForwardingFixture::Head(fmt::format("Content-Length: {}\r\n", kLength)));
  });
  std::map<std::string, const TestCaller*> caller;
  std::map<std::string, std::shared_ptr<Pourer>> pourers;
  struct Pour {
    std::string target;
    std::size_t bytes;
  };
  for (const Pour& one : {Pour{"/once/sound", 10 << 10}, Pour{"/once/large", 400 << 10},
                          Pour{"/once/b", 300 << 10}, Pour{"/once/c", 380 << 10}}) {
    caller[one.target] = &f.Call(one.target);
    CHECK_TRUE(f.Until([&] { return asked.contains(one.target); }));
    pourers[one.target] = Pourer::Start(*asked[one.target], "", piece, one.bytes);
    CHECK_TRUE(f.Until([&] { return pourers[one.target]->Written() == one.bytes; }));
    f.thread.Loop().restart();
    f.thread.Loop().run_for(milliseconds(50));
  }
  CHECK_TRUE(f.Until([&] { return caller["/once/large"]->Has("answers_in_hand_bytes"); }));
  CHECK_TRUE(caller["/once/large"]->Has("HTTP/1.1 502"));
  CHECK_EQUAL(1U, f.metrics.Counter("answers_broken_off_answers_in_hand_bytes"));
  for (const std::string target : {"/once/b", "/once/c", "/once/sound"}) {
    STRCMP_EQUAL("", caller[target]->Received().c_str());
    Pourer::Start(*asked[target], "", piece, kLength - pourers[target]->Written());
    CHECK_TRUE(f.Until([&] { return caller[target]->Received().size() > kLength; }));
    CHECK_TRUE(caller[target]->Has("200 OK"));
  }
  CHECK_EQUAL(4U, f.Arrivals());
}

}  // namespace zinnia
