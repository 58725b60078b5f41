#include <array>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;

namespace {

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kProcessing = "HTTP/1.1 102 Processing\r\nX-Id: r-1\r\n\r\n";
constexpr std::string_view kEarlyHints =
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 5\r\n\r\n";
constexpr std::string_view kUnknownInterim = "HTTP/1.1 199 Odd\r\n\r\n";

struct InterimCase {
  std::string_view name;
  std::string_view heads;
};

constexpr std::array kInterimCases = {
    InterimCase{"continue", kContinue},
    InterimCase{"processing", kProcessing},
    InterimCase{"early hints", kEarlyHints},
    InterimCase{"an interim status that nobody knows", kUnknownInterim},
};

struct NoAnswerCase {
  std::string_view name;
  std::string_view bytes;
};

constexpr std::array kNoAnswers = {
    NoAnswerCase{"switching protocols, signed",
                 "HTTP/1.1 101 Switching Protocols\r\nX-Id: r-1\r\nX-Signature: s\r\n"
                 "Upgrade: other\r\nConnection: upgrade\r\n\r\n"},
    NoAnswerCase{"a status below all",
                 "HTTP/1.1 099 Odd\r\nX-Id: r-1\r\nContent-Length: 3\r\n\r\nodd"},
    NoAnswerCase{"a status above all",
                 "HTTP/1.1 600 Odd\r\nX-Id: r-1\r\nX-Signature: s\r\n"
                 "Content-Length: 3\r\n\r\nodd"},
    NoAnswerCase{"an interim head and the end", "HTTP/1.1 100 Continue\r\n\r\n"},
};

}  // namespace

/** Interim heads come before an answer and are none; some statuses are no answer at all. */
TEST_GROUP(InterimHeadPath) {
  ForwardingFixture f;

  static std::string Whole(const std::string& body) {
    return ForwardingFixture::Head(fmt::format("Content-Length: {}\r\n", body.size())) + body;
  }

  static std::string WholeStream() {
    return ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
           ForwardingFixture::Chunk(ForwardingFixture::Event(1)) + "0\r\n\r\n";
  }

  /** The first request is answered with these bytes, later ones soundly. */
  void ScriptFirst(std::string_view bytes, const std::string& later, bool ends) {
    const auto is_first = std::make_shared<bool>(true);
    f.Script([bytes = std::string(bytes), later, ends, is_first](Connection& connection) {
      if (!std::exchange(*is_first, false)) {
        connection.Write(later);
        return;
      }
      connection.Write(bytes);
      if (ends) {
        connection.Close();
      }
    });
  }

  static std::size_t HeadsIn(const TestCaller& caller) {
    std::size_t heads = 0;
    for (auto at = caller.Received().find("HTTP/1.1 "); at != std::string::npos;
         at = caller.Received().find("HTTP/1.1 ", at + 1)) {
      ++heads;
    }
    return heads;
  }
};

TEST(InterimHeadPath, TheAnswerBehindInterimHeadsIsTheAnswer) {
  for (const InterimCase& one : kInterimCases) {
    ForwardingFixture g;
    g.Script([&one](Connection& connection) {
      connection.Write(std::string(one.heads) + std::string(one.heads) + Whole("ok"));
    });
    const TestCaller& caller = g.Call("/once/x");
    CHECK_TRUE_TEXT(g.Until([&] { return caller.Has("\r\n\r\nok"); }), one.name.data());
    CHECK_EQUAL_TEXT(1U, HeadsIn(caller), one.name.data());
    CHECK_TRUE_TEXT(caller.Has("200 OK"), one.name.data());
    CHECK_EQUAL_TEXT(1U, g.Arrivals(), one.name.data());
  }
}

TEST(InterimHeadPath, AnAnswerThatComesLongAfterItsInterimHeadIsTheAnswer) {
  Connection* open = nullptr;
  f.Script([&open](Connection& connection) {
    open = &connection;
    connection.Write(std::string(kContinue));
  });
  const TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return open != nullptr; }));
  f.thread.Loop().restart();
  f.thread.Loop().run_for(std::chrono::milliseconds(50));
  CHECK_EQUAL(0U, HeadsIn(caller));
  open->Write(Whole("ok"));
  CHECK_TRUE(f.Until([&] { return caller.Has("\r\n\r\nok"); }));
  CHECK_EQUAL(1U, f.Arrivals());
}

TEST(InterimHeadPath, AStreamBehindAnInterimHeadIsPassedOn) {
  f.Script(
      [](Connection& connection) { connection.Write(std::string(kProcessing) + WholeStream()); });
  const TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("\r\n0\r\n\r\n"); }));
  CHECK_TRUE(caller.Has("data: e1"));
  CHECK_EQUAL(1U, HeadsIn(caller));
  CHECK_EQUAL(1U, f.Arrivals());
}

TEST(InterimHeadPath, AConnectionWithInterimHeadsServesTheNextRequest) {
  f.Script([](Connection& connection) { connection.Write(std::string(kContinue) + Whole("ok")); });
  TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("ok"); }));
  const int connections = f.a.connections + f.b.connections;
  ForwardingFixture::SendOn(caller, "/safe/x");
  CHECK_TRUE(f.Until([&] { return HeadsIn(caller) == 2; }));
  CHECK_EQUAL(connections, f.a.connections + f.b.connections);
}

TEST(InterimHeadPath, WhatIsNoAnswerIsSentAgainIfItMayBe) {
  for (const NoAnswerCase& one : kNoAnswers) {
    ForwardingFixture g;
    const auto is_first = std::make_shared<bool>(true);
    g.Script([&one, is_first](Connection& connection) {
      if (!std::exchange(*is_first, false)) {
        connection.Write(Whole("second"));
        return;
      }
      connection.Write(std::string(one.bytes));
      connection.Close();
    });
    const TestCaller& caller = g.Call("/safe/x");
    CHECK_TRUE_TEXT(g.Until([&] { return caller.Has("second"); }), one.name.data());
    CHECK_EQUAL_TEXT(1U, HeadsIn(caller), one.name.data());
    CHECK_FALSE_TEXT(caller.Has("odd"), one.name.data());
  }
}

// Guards against a caller that waits for an answer which never comes.
TEST(InterimHeadPath, WhatIsNoAnswerEndsARequestThatMayNotRunTwice) {
  for (const NoAnswerCase& one : kNoAnswers) {
    ForwardingFixture g;
    g.Script([&one](Connection& connection) {
      connection.Write(std::string(one.bytes));
      connection.Close();
    });
    const TestCaller& caller = g.Call("/once/x");
    CHECK_TRUE_TEXT(g.Until([&] { return caller.Has("HTTP/1.1 502"); }), one.name.data());
    CHECK_EQUAL_TEXT(1U, HeadsIn(caller), one.name.data());
    CHECK_EQUAL_TEXT(1U, g.Arrivals(), one.name.data());
  }
}

TEST(InterimHeadPath, InterimHeadsWithoutEndAreBrokenOff) {
  std::string heads;
  for (int count = 0; count < 10'000; ++count) {
    heads += kContinue;
  }
  ScriptFirst(heads, Whole("second"), false);
  const TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("second"); }));
  CHECK_EQUAL(1U, HeadsIn(caller));
  CHECK_TRUE(f.a.other_side_closed || f.b.other_side_closed);
}

// Guards against a signature that is lost on the way, since Connection names its field.
TEST(InterimHeadPath, AnAnswerWhoseSignatureIsOfTheConnectionOnlyIsNotPassedOn) {
  ScriptFirst(ForwardingFixture::Head("Connection: X-Signature\r\nContent-Length: 3\r\n") + "odd",
              Whole("second"), false);
  const TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("second"); }));
  CHECK_FALSE(caller.Has("odd"));
}

// Guards against chunks behind the answer to a request for a head.
TEST(InterimHeadPath, ARequestForAHeadGetsNoBody) {
  f.Script([](Connection& connection) {
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n"));
  });
  TestCaller caller(f.thread.Loop(), f.traffic->Server().Port());
  const std::string request =
      "HEAD /events/x HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\nX-Key: key-1\r\n\r\n";
  caller.Send(request);
  CHECK_TRUE(f.Until([&] { return caller.Has("200 OK") && caller.Has("\r\n\r\n"); }));
  caller.Send(request);
  CHECK_TRUE(
      f.Until([&] { return HeadsIn(caller) == 2 && caller.Received().ends_with("\r\n\r\n"); }));
  CHECK_FALSE(caller.Has("\r\n0\r\n"));
}

// Guards against a stream that is cut off by an answer without a body, though others can go on.
TEST(InterimHeadPath, ABegunStreamIsNotEndedByASuccessWithoutABody) {
  int number = 0;
  f.Script([&number](Connection& connection) {
    if (++number == 1) {
      connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                       ForwardingFixture::Chunk(ForwardingFixture::Event(1)));
      connection.Close();
    } else {
      connection.Write("HTTP/1.1 204 No Content\r\nX-Id: r-1\r\nX-Signature: s\r\n\r\n");
    }
  });
  const TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.IsClosed(); }));
  CHECK_EQUAL(1U, HeadsIn(caller));
  CHECK_EQUAL(0U, f.metrics.Counter("misplaced_answers"));
}

// Guards against a stream's framing behind a head that has no body.
TEST(InterimHeadPath, ASuccessWithoutABodyIsNoStream) {
  f.Script([](Connection& connection) {
    connection.Write("HTTP/1.1 204 No Content\r\nX-Id: r-1\r\nX-Signature: s\r\n\r\n");
  });
  TestCaller& caller = f.Call("/events/x");
  CHECK_TRUE(f.Until([&] { return caller.Has("\r\n\r\n"); }));
  CHECK_TRUE(caller.Has("204 No Content"));
  CHECK_TRUE(caller.Received().ends_with("\r\n\r\n"));
  CHECK_FALSE(caller.Has("chunked"));
  CHECK_FALSE(caller.Has("\r\n0\r\n"));
}

}  // namespace zinnia
