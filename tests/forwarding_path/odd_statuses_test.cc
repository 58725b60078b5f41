#include <array>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;

namespace {

/** Status lines that are none of a final answer. */
constexpr std::array<std::string_view, 17> kOddStatusLines = {
    "HTTP/1.1 000 Odd",   "HTTP/1.1 000",      "HTTP/1.0 000 Odd", "HTTP/1.1 001 Odd",
    "HTTP/1.1 099 Odd",   "HTTP/1.1 101 Odd",  "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd",
    "HTTP/1.1 20 Odd",    "HTTP/1.1 2000 Odd", "HTTP/1.1 -20 Odd", "HTTP/1.1 abc Odd",
    "HTTP/1.1 00200 Odd", "HTTP/1.1  000 Odd", "HTTP/1.1 2 0 Odd", "http/1.1 000 Odd",
    "HTTP/2.0 000 Odd",
};

constexpr std::array<std::string_view, 2> kFramings = {
    "Content-Length: 3\r\n\r\nodd", "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n"};

}  // namespace

/** Servers and peers in trouble whose answers have a status that is none. */
TEST_GROUP(OddStatusPath) {
  static constexpr std::chrono::milliseconds kPauseOfPeer{2'500};
  static constexpr std::chrono::seconds kGiveUpAfter{10};

  ForwardingFixture f;
  int requests = 0;

  /** Bodies differ, so that no request is taken for one that crashes servers. */
  const TestCaller& Ask(const std::string& path) {
    f.callers.clear();
    const TestCaller& caller = f.Call(path, "key-1", fmt::format("body {}", ++requests));
    CHECK_TRUE(f.Until([&] { return caller.IsClosed() || caller.Has("\r\n\r\n"); }));
    return caller;
  }

  void KeepConnections() {
    f.Script([](Connection& connection) {
      connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
    });
    CHECK_TRUE(Ask("/once/x").Has("HTTP/1.1 200"));
  }

  static std::string OddAnswer(std::string_view line, std::string_view framing) {
    return fmt::format("{}\r\nX-Id: r-1\r\nX-Signature: s\r\n{}", line, framing);
  }
};

// Guards against an odd status that a caller gets as an answer, on new and kept connections and
// behind interim heads.
TEST(OddStatusPath, ItIsNoAnswerOfAServer) {
  for (const std::string_view line : kOddStatusLines) {
    for (const std::string_view framing : kFramings) {
      for (const std::string_view before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
        for (const std::string path : {"/once/x", "/safe/x", "/events/x"}) {
          KeepConnections();
          f.Script([&](Connection& connection) {
            connection.Write(std::string(before) + OddAnswer(line, framing));
          });
          const std::string& received = Ask(path).Received();
          STRNCMP_EQUAL_TEXT("HTTP/1.1 502 ", received.c_str(), 13, line.data());
          CHECK_TRUE_TEXT(received.find("odd") == std::string::npos, line.data());
        }
      }
    }
  }
}

// The same for the answer of a peer to an instance that reaches no server.
TEST(OddStatusPath, ItIsNoAnswerOfAPeer) {
  RawServer peer{f.thread.Loop()};
  const auto lost = std::make_shared<ForwardingView>(*f.view);
  for (auto& [name, server] : lost->servers) {
    server.address = f.refusing.Address();
  }
  const auto instances = std::make_shared<std::vector<Instance>>();
  for (const auto& [name, port] :
       {std::pair<std::string, std::uint16_t>{"self", 0}, {"peer-1", peer.Address().port}}) {
    Instance instance;
    instance.name = name;
    instance.peer_address = {"127.0.0.1", 1};
    instance.requests_port = port;
    instances->push_back(instance);
  }
  lost->instances = instances;
  lost->live_instances = instances->size();
  f.traffic->SetView(lost);
  std::string_view line;
  peer.scripts = {
      [&](Connection& connection) { connection.Write(OddAnswer(line, kFramings.front())); }};
  for (std::size_t number = 0; number < kOddStatusLines.size(); ++number) {
    line = kOddStatusLines.at(number);
    f.clock.MoveBy(kPauseOfPeer);  // A peer whose answer broke off is left alone for a while.
    const std::size_t before = peer.received.size();
    const auto give_up_at = std::chrono::steady_clock::now() + kGiveUpAfter;
    while (peer.received.size() == before && std::chrono::steady_clock::now() < give_up_at) {
      const std::string& received = Ask(number % 2 == 0 ? "/once/x" : "/events/x").Received();
      STRNCMP_EQUAL_TEXT("HTTP/1.1 50", received.c_str(), 11, line.data());
      CHECK_TRUE_TEXT(received.find("odd") == std::string::npos, line.data());
    }
    CHECK_TRUE_TEXT(peer.received.size() > before, line.data());
  }
}

}  // namespace zinnia
