#include <fmt/format.h>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

/** A stream that has begun at a server of an instance, which then loses its links to all servers
   and moves the stream to a peer. The peers are servers that the test scripts. */
TEST_GROUP(BegunStreamPath) {
  /** A connection that was accepted within this time shows that servers are reached. */
  static constexpr milliseconds kConnectionsCountFor{1'100};

  ForwardingFixture f;
  RawServer first_peer{f.thread.Loop()};
  RawServer second_peer{f.thread.Loop()};

  void setup() override {
    SetOpening(ForwardingFixture::Chunk(ForwardingFixture::Event(1)));
  }

  /** What servers send behind their head. */
  void SetOpening(const std::string& opening) {
    f.Script([opening](Connection& connection) {
      connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") + opening);
    });
  }

  void Wait(milliseconds duration) {
    const TimePoint end = f.clock.Now() + duration;
    CHECK_TRUE(f.Until([&] { return f.clock.Now() >= end; }));
  }

  static std::string Answer(const std::string& status, const std::string& fields = "") {
    return fmt::format("HTTP/1.1 {}\r\nX-Id: r-1\r\n{}Content-Length: 4\r\n\r\nlost", status,
                       fields);
  }

  static RawServer::Script Answering(const std::string& answer) {
    return [answer](Connection& connection) { connection.Write(answer); };
  }

  static void GoOn(Connection & connection) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: other\r\nTransfer-Encoding: chunked\r\n\r\n" +
        ForwardingFixture::Chunk(ForwardingFixture::Event(2)) + "0\r\n\r\n");
  }

  /** Begins a stream, and lets the instance find out that it reaches no server any more. */
  TestCaller& BeginAndLoseServers() {
    TestCaller& caller = f.Call("/events/x");
    CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
    LoseServers();
    return caller;
  }

  void LoseServers() {
    const auto lost = std::make_shared<ForwardingView>(*f.view);
    for (auto& [name, server] : lost->servers) {
      server.address = f.refusing.Address();
    }
    const auto instances = std::make_shared<std::vector<Instance>>();
    AddInstance(*instances, "self", 0);
    AddInstance(*instances, "peer-1", first_peer.Address().port);
    AddInstance(*instances, "peer-2", second_peer.Address().port);
    lost->instances = instances;
    lost->live_instances = instances->size();
    f.traffic->SetView(lost);
    Wait(kConnectionsCountFor);
    f.Call("/safe/x");
    CHECK_TRUE(
        f.Until([&] { return !first_peer.received.empty() || !second_peer.received.empty(); }));
  }

  /** The servers have sent their heads only, and end before the peer answers. */
  TestCaller& OpenAndLoseServers(const RawServer::Script& script_of_peers) {
    SetOpening("");
    SetPeers([this, script_of_peers](Connection& connection) {
      f.a.Crash();
      f.b.Crash();
      script_of_peers(connection);
    });
    TestCaller& caller = f.Call("/events/x");
    CHECK_TRUE(f.Until([&] { return f.Arrivals() == 1; }));
    LoseServers();
    CHECK_TRUE(f.Until([&] { return EndsWhole(caller) || caller.Has("HTTP/1.1 50"); }));
    return caller;
  }

  static void AddInstance(std::vector<Instance> & instances, const std::string& name,
                          std::uint16_t requests_port) {
    Instance instance;
    instance.name = name;
    instance.peer_address = {"127.0.0.1", 1};
    instance.requests_port = requests_port;
    instances.push_back(instance);
  }

  void SetPeers(const RawServer::Script& script) {
    first_peer.scripts = {script};
    second_peer.scripts = {script};
  }

  static bool EndsWhole(const TestCaller& caller) {
    return caller.Has("\r\n0\r\n\r\n");
  }

  /** Nothing but the stream's head, its first event and, if given, the second one arrived. */
  static void CheckIsOneStream(const TestCaller& caller) {
    const std::string& received = caller.Received();
    CHECK_EQUAL(received.rfind("HTTP/1.1 "), received.find("HTTP/1.1 "));
    CHECK_FALSE(caller.Has("lost"));
    CHECK_FALSE(caller.Has("X-Signature: other"));
    const std::size_t body = received.find("\r\n\r\n");
    CHECK_TRUE(body != std::string::npos);
    const std::string one = ForwardingFixture::Chunk(ForwardingFixture::Event(1));
    const std::string both = one + ForwardingFixture::Chunk(ForwardingFixture::Event(2));
    const std::string rest = received.substr(body + 4);
    CHECK_TRUE(rest == one || rest == both || rest == both + "0\r\n\r\n");
  }

  /** Its first server, whose connection has lived on, ends as well. */
  void CheckIsCutOff(const RawServer::Script& script) {
    SetPeers([this, script](Connection& connection) {
      f.a.Crash();
      f.b.Crash();
      script(connection);
    });
    const TestCaller& caller = BeginAndLoseServers();
    CHECK_TRUE(f.Until([&] { return caller.IsClosed() || caller.Has("lost"); }));
    CheckIsOneStream(caller);
    CHECK_FALSE(EndsWhole(caller));
  }
};

// Guards against a peer's refusal that is written into a stream which has begun.
TEST(BegunStreamPath, APeersRefusalIsNotWrittenIntoIt) {
  CheckIsCutOff(Answering(Answer("503 Service Unavailable", "Retry-After: 0.3\r\n")));
}

// The same for refusals that a server has given to the peer.
TEST(BegunStreamPath, ASignedRefusalIsNotWrittenIntoIt) {
  CheckIsCutOff(Answering(Answer("429 Too Many Requests", "X-Signature: s\r\nX-Not-Run: 1\r\n")));
}

// The same for failures.
TEST(BegunStreamPath, APeersFailureIsNotWrittenIntoIt) {
  CheckIsCutOff(Answering(Answer("502 Bad Gateway")));
}

TEST(BegunStreamPath, APeersTimeoutIsNotWrittenIntoIt) {
  CheckIsCutOff(Answering(Answer("504 Gateway Timeout")));
}

// The same for a success that is no stream of a server.
TEST(BegunStreamPath, APeersPlainSuccessIsNotWrittenIntoIt) {
  CheckIsCutOff(Answering(Answer("200 OK")));
}

// Guards against a peer that ends being taken for the end of the stream.
TEST(BegunStreamPath, APeerThatEndsDoesNotEndItWhole) {
  CheckIsCutOff([](Connection& connection) { connection.Close(); });
}

// Guards against letting go of a connection that lives on for a peer that does not help.
TEST(BegunStreamPath, AfterAPeersRefusalItGoesOnAtItsFirstServer) {
  Connection* first = nullptr;
  f.Script([&first](Connection& connection) {
    first = &connection;
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(1)));
  });
  SetPeers(Answering(Answer("503 Service Unavailable", "Retry-After: 0.3\r\n")));
  const TestCaller& caller = BeginAndLoseServers();
  Wait(milliseconds(300));
  CHECK_FALSE(caller.IsClosed());
  CHECK_FALSE(f.a.other_side_closed || f.b.other_side_closed);
  first->Write(ForwardingFixture::Chunk(ForwardingFixture::Event(2)) + "0\r\n\r\n");
  CHECK_TRUE(f.Until([&] { return EndsWhole(caller) || caller.IsClosed(); }));
  CheckIsOneStream(caller);
  CHECK_TRUE(EndsWhole(caller));
}

// Guards against a second head when another server goes on.
TEST(BegunStreamPath, ItKeepsItsFirstHead) {
  SetPeers(GoOn);
  const TestCaller& caller = BeginAndLoseServers();
  CHECK_TRUE(f.Until([&] { return EndsWhole(caller) || caller.IsClosed() || caller.Has("lost"); }));
  CheckIsOneStream(caller);
  CHECK_TRUE(EndsWhole(caller));
}

// Guards against a stream that is cut off for a refusal, although another peer would go on.
TEST(BegunStreamPath, AfterAPeersRefusalItGoesOnAtAnotherPeer) {
  bool is_first = true;
  SetPeers([&is_first](Connection& connection) {
    if (connection.request.target() != "/events/x" || !std::exchange(is_first, false)) {
      GoOn(connection);
    } else {
      connection.Write(Answer("503 Service Unavailable", "Retry-After: 0.3\r\n"));
    }
  });
  const TestCaller& caller = BeginAndLoseServers();
  CHECK_TRUE(f.Until([&] { return EndsWhole(caller) || caller.IsClosed() || caller.Has("lost"); }));
  CheckIsOneStream(caller);
  CHECK_TRUE(EndsWhole(caller));
}

// Guards against the head of a lost server over the events that a peer passes on.
TEST(BegunStreamPath, AHeadAloneLeavesTheAnswerToThePeer) {
  const TestCaller& caller = OpenAndLoseServers([](Connection& connection) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: other\r\nTransfer-Encoding: chunked\r\n\r\n" +
        ForwardingFixture::Chunk(ForwardingFixture::Event(1)) + "0\r\n\r\n");
  });
  CHECK_TRUE(EndsWhole(caller));
  CHECK_TRUE(caller.Has("X-Signature: other"));
  CHECK_FALSE(caller.Has("X-Signature: s"));
}

// Guards against "not run" for a stream that may have run at the server that sent a head.
TEST(BegunStreamPath, AfterAHeadAPeersRefusalIsNoPromise) {
  const TestCaller& caller =
      OpenAndLoseServers(Answering(Answer("503 Service Unavailable", "Retry-After: 0.3\r\n")));
  CHECK_TRUE(caller.Has("HTTP/1.1 502"));
}

}  // namespace zinnia
