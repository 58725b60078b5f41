#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;

/** Answers without a length, which end with their connection: by its end or by a reset. */
TEST_GROUP(AnswerEndPath) {
  ForwardingFixture f;
  Connection* open = nullptr;
  bool first = true;

  void setup() override {
    const auto rules = std::make_shared<ForwardingRules>(*f.view->rules);
    ForwardingFixture::AddRoute(*rules, "/unresumable/", Repeatability::kStream, false);
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->rules = rules;
    view->routes = std::make_shared<RouteTable>(*rules);
    f.view = view;
    f.traffic->SetView(view);
  }

  /** Ends the connection with a reset instead of an orderly end. */
  static void Reset(Connection & connection) {
    connection.socket.set_option(boost::asio::socket_base::linger(true, 0));
    connection.Close();
  }

  static std::string WithoutLength(const std::string& body) {
    return ForwardingFixture::Head("Connection: close\r\n") + body;
  }

  /** The first answer is sent by `script`, later ones have a length and the body "second". */
  void ScriptFirst(const RawServer::Script& script) {
    f.Script([this, script](Connection& connection) {
      if (std::exchange(first, false)) {
        script(connection);
      } else {
        connection.Write(ForwardingFixture::Head("Content-Length: 6\r\n") + "second");
      }
    });
  }

  /** The first stream has no length and stays open at `open`; later ones are whole and begin with
      `later`. */
  void ScriptStream(const std::string& bytes, int later) {
    f.Script([this, bytes, later](Connection& connection) {
      if (std::exchange(first, false)) {
        open = &connection;
        connection.Write(WithoutLength(bytes));
      } else {
        connection.Write(WithoutLength(ForwardingFixture::Event(later)));
        connection.Close();
      }
    });
  }

  TestCaller& BeginStream(const std::string& path) {
    TestCaller& caller = f.Call(path);
    CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
    CHECK_TRUE(open != nullptr);
    return caller;
  }

  bool IsWhole(const TestCaller& caller) {
    return f.Until([&] { return caller.IsClosed() || caller.Has("\r\n0\r\n\r\n"); }) &&
           caller.Has("\r\n0\r\n\r\n");
  }

  /** The last event that the second server was told of. */
  std::string LastEventSentOn() const {
    for (const RawServer* server : {&f.a, &f.b}) {
      for (const RawServer::Request& request : server->received) {
        if (!request["X-Last-Event"].empty()) {
          return std::string(request["X-Last-Event"]);
        }
      }
    }
    return "";
  }

  static std::size_t Count(const TestCaller& caller, const std::string& text) {
    std::size_t count = 0;
    for (auto at = caller.Received().find(text); at != std::string::npos;
         at = caller.Received().find(text, at + text.size())) {
      ++count;
    }
    return count;
  }

  void CheckResumedAfterFirstEvent(const TestCaller& caller) {
    CHECK_TRUE(IsWhole(caller));
    CHECK_EQUAL(1U, Count(caller, "data: e1"));
    CHECK_EQUAL(1U, Count(caller, "data: e2"));
    CHECK_FALSE(caller.Has("data: ha"));
    STRCMP_EQUAL("1", LastEventSentOn().c_str());
    CHECK_EQUAL(2U, f.Arrivals());
  }

  void CheckCutOffAfterFirstEvent(const TestCaller& caller) {
    CHECK_FALSE(IsWhole(caller));
    CHECK_TRUE(caller.IsClosed());
    CHECK_FALSE(caller.Has("data: ha"));
    CHECK_EQUAL(1U, f.Arrivals());
  }
};

TEST(AnswerEndPath, AnAnswerThatIsResetIsNotPassedOn) {
  ScriptFirst([](Connection& connection) {
    connection.Write(WithoutLength("all of it"));
    Reset(connection);
  });
  const TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("HTTP/1.1 "); }));
  CHECK_TRUE(caller.Has("502"));
  CHECK_FALSE(caller.Has("all of it"));
  CHECK_EQUAL(1U, f.Arrivals());
}

// Guards against an answer that mixes what was reset with what another server sends.
TEST(AnswerEndPath, ARequestWhoseAnswerIsResetIsSentAgain) {
  ScriptFirst([](Connection& connection) {
    connection.Write(WithoutLength("all of it"));
    Reset(connection);
  });
  const TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("second"); }));
  CHECK_TRUE(caller.Has("200 OK"));
  CHECK_FALSE(caller.Has("all of it"));
  CHECK_EQUAL(2U, f.Arrivals());
}

// Guards against a reset that comes long after the bytes and is taken for the end.
TEST(AnswerEndPath, AnAnswerThatIsResetLaterIsNotPassedOn) {
  ScriptFirst([this](Connection& connection) {
    open = &connection;
    connection.Write(WithoutLength("all of it"));
  });
  const TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return open != nullptr; }));
  f.thread.Loop().restart();
  f.thread.Loop().run_for(std::chrono::milliseconds(50));
  CHECK_FALSE(caller.Has("HTTP/1.1 "));
  Reset(*open);
  CHECK_TRUE(f.Until([&] { return caller.Has("HTTP/1.1 "); }));
  CHECK_TRUE(caller.Has("502"));
  CHECK_FALSE(caller.Has("all of it"));
}

TEST(AnswerEndPath, AnEmptyAnswerIsWholeWhenItsConnectionEnds) {
  ScriptFirst([](Connection& connection) {
    connection.Write(WithoutLength(""));
    connection.Close();
  });
  const TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("\r\n\r\n"); }));
  CHECK_TRUE(caller.Has("200 OK"));
  CHECK_EQUAL(1U, f.Arrivals());
}

TEST(AnswerEndPath, AnEmptyAnswerThatIsResetIsNotPassedOn) {
  ScriptFirst([](Connection& connection) {
    connection.Write(WithoutLength(""));
    Reset(connection);
  });
  const TestCaller& caller = f.Call("/once/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("\r\n\r\n"); }));
  CHECK_TRUE(caller.Has("502"));
  CHECK_EQUAL(1U, f.Arrivals());
}

TEST(AnswerEndPath, AStreamIsWholeWhenItsConnectionEndsAfterAnEvent) {
  ScriptStream(ForwardingFixture::Event(1) + ForwardingFixture::Event(2), 3);
  const TestCaller& caller = BeginStream("/events/x");
  CHECK_FALSE(caller.Has("\r\n0\r\n"));
  open->Close();
  CHECK_TRUE(IsWhole(caller));
  CHECK_EQUAL(1U, Count(caller, "data: e2"));
  CHECK_EQUAL(1U, f.Arrivals());
}

TEST(AnswerEndPath, AStreamThatEndsWithinAnEventIsResumed) {
  ScriptStream(ForwardingFixture::Event(1) + "id: 2\ndata: ha", 2);
  const TestCaller& caller = BeginStream("/events/x");
  open->Close();
  CheckResumedAfterFirstEvent(caller);
}

TEST(AnswerEndPath, AStreamThatEndsWithinAnEventAndCannotBeResumedIsCutOff) {
  ScriptStream(ForwardingFixture::Event(1) + "id: 2\ndata: ha", 2);
  const TestCaller& caller = BeginStream("/unresumable/x");
  open->Close();
  CheckCutOffAfterFirstEvent(caller);
}

TEST(AnswerEndPath, AStreamThatIsResetAfterAnEventIsResumed) {
  ScriptStream(ForwardingFixture::Event(1), 2);
  const TestCaller& caller = BeginStream("/events/x");
  Reset(*open);
  CheckResumedAfterFirstEvent(caller);
}

TEST(AnswerEndPath, AStreamThatIsResetAfterAnEventAndCannotBeResumedIsCutOff) {
  ScriptStream(ForwardingFixture::Event(1), 2);
  const TestCaller& caller = BeginStream("/unresumable/x");
  Reset(*open);
  CheckCutOffAfterFirstEvent(caller);
}

// Guards against a stream that begins anew behind what another server has sent.
TEST(AnswerEndPath, AStreamThatIsResetAfterAnEventWithoutAnIdIsCutOff) {
  ScriptStream("data: e1\n\n", 1);
  const TestCaller& caller = BeginStream("/events/x");
  Reset(*open);
  CheckCutOffAfterFirstEvent(caller);
}

// The same for a comment, which is no event for callers.
TEST(AnswerEndPath, AStreamThatIsResetAfterACommentIsCutOff) {
  ScriptStream(": data: e1\n\n", 1);
  const TestCaller& caller = BeginStream("/events/x");
  Reset(*open);
  CheckCutOffAfterFirstEvent(caller);
}

// Guards against an end of the connection that is taken for the end of an answer with a length.
TEST(AnswerEndPath, AChunkedStreamWithoutItsLastChunkIsResumed) {
  f.Script([this](Connection& connection) {
    const bool is_first = std::exchange(first, false);
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(is_first ? 1 : 2)) +
                     (is_first ? "" : "0\r\n\r\n"));
    if (is_first) {
      connection.Close();
    }
  });
  CheckResumedAfterFirstEvent(f.Call("/events/x"));
}

// Guards against bytes between two answers that are taken for the answer to the next request.
TEST(AnswerEndPath, ASecondAnswerThatComesLateGoesToNobody) {
  f.Script([this](Connection& connection) {
    open = &connection;
    connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
  });
  for (int call = 0; call < 10; ++call) {
    TestCaller& caller = f.Call("/safe/x");
    CHECK_TRUE(f.Until([&] { return caller.Has("ok") || caller.Has("late"); }));
    CHECK_FALSE(caller.Has("late"));
    open->Write(ForwardingFixture::Head("Content-Length: 4\r\n") + "late");
  }
  CHECK_EQUAL(10U, f.Arrivals());
  CHECK_EQUAL(10, f.a.connections + f.b.connections);
}

/** Server that answers each connection's first request as soon as its headers are there and reads
    on only when it is told to. */
class EarlyServer {
 public:
  explicit EarlyServer(boost::asio::io_context& loop)
      : m_acceptor(loop, boost::asio::ip::tcp::v4()) {
    // Small enough that a long body does not fit into it.
    m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBuffer));
    m_acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen();
    Accept();
  }

  NetworkAddress Address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

  void ReadOn(std::size_t connection) { ReadSome(m_connections[connection]); }
  const std::string& Read(std::size_t connection) const { return m_connections[connection]->read; }
  bool HasEnded(std::size_t connection) const { return m_connections[connection]->ended; }
  std::size_t Connections() const { return m_connections.size(); }
  void Write(std::size_t connection, const std::string& bytes) {
    boost::asio::write(m_connections[connection]->socket, boost::asio::buffer(bytes));
  }

  /** What is written once the headers of a request are there. */
  std::string answer;

 private:
  static constexpr int kReceiveBuffer = 4'096;

  struct Peer {
    explicit Peer(boost::asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    std::array<char, 4'096> buffer{};
    std::string read;
    bool has_answered = false;
    bool ended = false;
  };

  void Accept() {
    m_acceptor.async_accept([this](boost::system::error_code error, auto socket) {
      if (!error) {
        m_connections.push_back(std::make_shared<Peer>(std::move(socket)));
        ReadSome(m_connections.back());
        Accept();
      }
    });
  }

  void ReadSome(const std::shared_ptr<Peer>& peer) {
    peer->socket.async_read_some(boost::asio::buffer(peer->buffer),
                                 [this, peer](boost::system::error_code error, std::size_t bytes) {
                                   peer->read.append(peer->buffer.data(), bytes);
                                   if (error) {
                                     peer->ended = true;
                                     return;
                                   }
                                   const bool has_head =
                                       peer->read.find("\r\n\r\n") != std::string::npos;
                                   if (has_head && !std::exchange(peer->has_answered, true)) {
                                     boost::asio::write(peer->socket, boost::asio::buffer(answer));
                                     return;
                                   }
                                   ReadSome(peer);
                                 });
  }

  boost::asio::ip::tcp::acceptor m_acceptor;
  std::vector<std::shared_ptr<Peer>> m_connections;
};

/** A server that answers before it has read the body. */
TEST_GROUP(EarlyAnswerPath) {
  /** More than the sockets between hold. */
  static constexpr std::size_t kLongBody = 16'000'000;

  /** The sockets between hold all of it, so it has been written when the answer comes. */
  static constexpr std::size_t kBodyInSockets = 60'000;

  ForwardingFixture f;
  EarlyServer server{f.thread.Loop()};
  std::string body = std::string(kLongBody, 'x');

  void setup() override {
    const auto rules = std::make_shared<ForwardingRules>(*f.view->rules);
    rules->caller_bounds.most_body_bytes = 2 * kLongBody;
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->rules = rules;
    view->servers.erase("b");
    view->servers["a"].address = server.Address();
    f.view = view;
    f.traffic->SetView(view);
    server.answer = ForwardingFixture::Head("Content-Length: 2\r\n") + "ok";
  }

  std::size_t BodySizeRead(std::size_t connection) const {
    const std::string& read = server.Read(connection);
    return read.size() - (read.find("\r\n\r\n") + 4);
  }

  std::string BodyRead(std::size_t connection) const {
    const std::string& read = server.Read(connection);
    return read.substr(read.find("\r\n\r\n") + 4);
  }

  /** Reads the rest and checks that all bytes up to the end of the body belong to it, and that only
      the head of another request follows. */
  void CheckNothingElseReplacesTheBody() {
    server.ReadOn(0);
    CHECK_TRUE(f.Until([&] { return server.HasEnded(0) || BodySizeRead(0) >= body.size(); }));
    f.thread.Loop().restart();
    f.thread.Loop().run_for(std::chrono::milliseconds(50));
    const std::string read = BodyRead(0);
    CHECK_TRUE(std::all_of(read.begin(),
                           read.begin() + static_cast<long>(std::min(read.size(), body.size())),
                           [](char byte) { return byte == 'x'; }));
    const std::string rest = read.size() > body.size() ? read.substr(body.size()) : "POST /safe/";
    STRCMP_EQUAL("POST /safe/", rest.substr(0, 11).c_str());
  }
};

// Guards against the next request's bytes where the rest of a body is due.
TEST(EarlyAnswerPath, TheNextRequestHasAConnectionOfItsOwn) {
  const TestCaller& one = f.Call("/safe/x", "key-1", body);
  CHECK_TRUE(f.Until([&] { return one.Has("\r\n\r\n"); }));
  CHECK_TRUE(one.Has("200 OK"));
  const TestCaller& two = f.Call("/safe/x", "key-1", "short");
  CHECK_TRUE(f.Until([&] { return two.Has("\r\n\r\n"); }));
  CHECK_TRUE(two.Has("200 OK"));
  CheckNothingElseReplacesTheBody();
  CHECK_TRUE(BodySizeRead(0) < body.size());
  CHECK_EQUAL(2U, server.Connections());
}

// The same for the next request of the same caller.
TEST(EarlyAnswerPath, TheSameCallersNextRequestHasAConnectionOfItsOwn) {
  TestCaller& caller = f.Call("/safe/x", "key-1", body);
  CHECK_TRUE(f.Until([&] { return caller.Has("ok"); }));
  ForwardingFixture::SendOn(caller, "/safe/y", "key-1", "short");
  CHECK_TRUE(f.Until([&] { return server.Connections() == 2; }));
  CHECK_TRUE(f.Until([&] { return server.Read(1).find("POST /safe/y") != std::string::npos; }));
  CheckNothingElseReplacesTheBody();
}

TEST(EarlyAnswerPath, ABodyThatHasBeenSentComesWholeBeforeTheNextRequest) {
  body.resize(kBodyInSockets);
  const TestCaller& one = f.Call("/safe/x", "key-1", body);
  CHECK_TRUE(f.Until([&] { return one.Has("ok"); }));
  f.Call("/safe/x", "key-1", "short");
  f.thread.Loop().restart();
  f.thread.Loop().run_for(std::chrono::milliseconds(50));
  CheckNothingElseReplacesTheBody();
}

TEST(EarlyAnswerPath, AStreamThatBeginsEarlyGetsTheWholeBody) {
  server.answer = ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                  ForwardingFixture::Chunk(ForwardingFixture::Event(1));
  const TestCaller& caller = f.Call("/events/x", "key-1", body);
  CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
  CheckNothingElseReplacesTheBody();
  CHECK_EQUAL(body.size(), BodySizeRead(0));
  server.Write(0, ForwardingFixture::Chunk(ForwardingFixture::Event(2)) + "0\r\n\r\n");
  CHECK_TRUE(f.Until([&] { return caller.Has("\r\n0\r\n\r\n"); }));
  CHECK_TRUE(caller.Has("data: e2"));
}

// Guards against an end of the answer that comes while the body is still being sent.
TEST(EarlyAnswerPath, AStreamThatEndsEarlyIsWholeAndItsConnectionIsLeft) {
  server.answer = ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                  ForwardingFixture::Chunk(ForwardingFixture::Event(1)) + "0\r\n\r\n";
  const TestCaller& caller = f.Call("/events/x", "key-1", body);
  CHECK_TRUE(f.Until([&] { return caller.Has("\r\n0\r\n\r\n"); }));
  const TestCaller& next = f.Call("/events/x", "key-1", "short");
  CHECK_TRUE(f.Until([&] { return next.Has("\r\n0\r\n\r\n"); }));
  CheckNothingElseReplacesTheBody();
  CHECK_EQUAL(2U, server.Connections());
}

}  // namespace zinnia
