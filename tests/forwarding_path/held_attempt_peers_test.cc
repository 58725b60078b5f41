#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

/** An attempt that is held while a peer is asked, as the instance has lost all servers. */
TEST_GROUP(HeldAttemptPeersPath) {
  ForwardingFixture f;
  void Wait(milliseconds duration) {
    const TimePoint end = f.clock.Now() + duration;
    CHECK_TRUE(f.Until([&] { return f.clock.Now() >= end; }));
  }

  /** The fixture's view, in which no server accepts connections. */
  std::shared_ptr<ForwardingView> ViewWithoutServers() const {
    auto lost = std::make_shared<ForwardingView>(*f.view);
    for (auto& [name, server] : lost->servers) {
      server.address = f.refusing.Address();
    }
    return lost;
  }

  static void AddPeer(ForwardingView & view, const RawServer& peer) {
    const auto instances = std::make_shared<std::vector<Instance>>();
    for (const auto& [name, port] :
         {std::pair<std::string, std::uint16_t>{"self", 0}, {"peer-1", peer.Address().port}}) {
      Instance instance;
      instance.name = name;
      instance.peer_address = {"127.0.0.1", 1};
      instance.requests_port = port;
      instances->push_back(instance);
    }
    view.instances = instances;
    view.live_instances = instances->size();
  }
};

// Guards against passing on a peer's failure while the held server may still answer.
TEST(HeldAttemptPeersPath, APeersFailureDoesNotEndAWholeAnswer) {
  RawServer peer{f.thread.Loop()};
  Connection* at_first = nullptr;
  f.Script([&](Connection& connection) { at_first = &connection; });
  TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return at_first != nullptr; }));
  Connection* const first = at_first;
  peer.scripts = {[](Connection& connection) {
    connection.Write("HTTP/1.1 502 Bad\r\nX-Id: r-1\r\nContent-Length: 4\r\n\r\nlost");
  }};
  const auto lost = ViewWithoutServers();
  AddPeer(*lost, peer);
  f.traffic->SetView(lost);
  Wait(milliseconds(1'100));
  f.Call("/safe/y");
  CHECK_TRUE(f.Until([&] { return !peer.received.empty() || !caller.Received().empty(); }));
  Wait(milliseconds(200));
  CHECK_FALSE(caller.Has("lost"));
  CHECK_FALSE(f.a.other_side_closed || f.b.other_side_closed);
  if (!f.a.other_side_closed && !f.b.other_side_closed) {
    first->Write(ForwardingFixture::Head("Content-Length: 4\r\n") + "mine");
  }
  CHECK_TRUE(f.Until([&] { return !caller.Received().empty(); }));
  CHECK_TRUE(caller.Has("mine"));
}

// Guards against "not run" on a peer's word, although a server may have run the request before.
TEST(HeldAttemptPeersPath, APeersRefusalIsNoPromiseForARequestThatMayHaveRun) {
  RawServer peer{f.thread.Loop()};
  Connection* at_first = nullptr;
  Connection* at_peer = nullptr;
  f.Script([&](Connection& connection) { at_first = &connection; });
  const TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return at_first != nullptr; }));
  peer.scripts = {[&](Connection& connection) { at_peer = &connection; }};
  const auto lost = ViewWithoutServers();
  AddPeer(*lost, peer);
  f.traffic->SetView(lost);
  Wait(milliseconds(1'100));
  f.Call("/safe/y");
  CHECK_TRUE(f.Until([&] { return at_peer != nullptr; }));
  STRCMP_EQUAL("/safe/x", std::string(peer.received.front().target()).c_str());
  f.a.Crash();
  f.b.Crash();
  Wait(milliseconds(50));
  at_peer->Write(
      "HTTP/1.1 503 Full\r\nX-Id: r-1\r\nRetry-After: 0.3\r\nContent-Length: 4\r\n\r\nlost");
  CHECK_TRUE(f.Until([&] { return !caller.Received().empty(); }));
  CHECK_TRUE(caller.Has("HTTP/1.1 502"));
}

// Guards against waiting for a lost server although a peer could take the request by now.
TEST(HeldAttemptPeersPath, AnotherWayIsLookedForAgainWhenPeersAppear) {
  RawServer peer{f.thread.Loop()};
  Connection* at_first = nullptr;
  f.Script([&](Connection& connection) { at_first = &connection; });
  TestCaller& caller = f.Call("/safe/x");
  CHECK_TRUE(f.Until([&] { return at_first != nullptr; }));
  Connection* const first = at_first;
  peer.scripts = {[](Connection& connection) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nmine");
  }};
  const auto lost = ViewWithoutServers();
  f.traffic->SetView(lost);
  Wait(milliseconds(1'100));
  f.Call("/safe/y");
  Wait(milliseconds(700));
  CHECK_FALSE(caller.IsClosed());
  CHECK_TRUE(caller.Received().empty());
  const auto with_peers = std::make_shared<ForwardingView>(*lost);
  AddPeer(*with_peers, peer);
  f.traffic->SetView(with_peers);
  Wait(milliseconds(50));
  const TestCaller& other = f.Call("/safe/z");
  CHECK_TRUE(f.Until([&] { return other.Has("mine"); }));
  CHECK_TRUE(f.Until([&] { return !caller.Received().empty(); }));
  CHECK_TRUE(caller.Has("mine"));
  static_cast<void>(first);
}

}  // namespace zinnia
