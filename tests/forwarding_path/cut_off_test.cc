#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

/** An instance whose connections to all servers are refused, as behind a network partition, beside
    peers that reach them. */
TEST_GROUP(CutOffPath) {
  /** Until an instance must have found out that it reaches no server. */
  static constexpr milliseconds kDetection{1'000};

  ForwardingFixture f;
  std::unique_ptr<ForwardingTraffic> cut_off = f.MakeTraffic("cut-off");

  void setup() override {
    f.Script([](Connection& connection) {
      if (connection.request.target().starts_with("/events/")) {
        connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                         ForwardingFixture::Chunk(ForwardingFixture::Event(1)) + "0\r\n\r\n");
      } else {
        connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
      }
    });
    cut_off->SetView(ViewWithoutServers({f.traffic.get()}));
  }

  /** The fixture's view, with addresses of servers at which nobody listens. */
  std::shared_ptr<ForwardingView> ViewWithoutServers(const std::vector<ForwardingTraffic*>& peers)
      const {
    auto view = std::make_shared<ForwardingView>(*f.view);
    for (auto& [name, server] : view->servers) {
      server.address = f.refusing.Address();
    }
    const auto instances = std::make_shared<std::vector<Instance>>();
    instances->push_back(MakeInstance("cut-off", 0));
    for (ForwardingTraffic* const peer : peers) {
      instances->push_back(MakeInstance("peer-" + std::to_string(instances->size()),
                                        peer->Server().PeerRequestsPort()));
    }
    view->instances = instances;
    view->live_instances = instances->size();
    return view;
  }

  static Instance MakeInstance(const std::string& name, std::uint16_t requests_port) {
    Instance instance;
    instance.name = name;
    instance.peer_address = {"127.0.0.1", 1};
    instance.requests_port = requests_port;
    return instance;
  }

  /** An address at which connections hang, as its backlog is full and nobody accepts. */
  class HangingAddress {
   public:
    HangingAddress() : m_acceptor(m_loop) {
      const boost::asio::ip::tcp::endpoint any_port(boost::asio::ip::address_v4::loopback(), 0);
      m_acceptor.open(any_port.protocol());
      m_acceptor.bind(any_port);
      m_acceptor.listen(0);
      for (int waiting = 0; waiting < kMoreThanBacklog; ++waiting) {
        m_waiting.emplace_back(m_loop);
        m_waiting.back().async_connect(m_acceptor.local_endpoint(),
                                       [](const boost::system::error_code&) {});
      }
    }
    NetworkAddress Get() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

   private:
    static constexpr int kMoreThanBacklog = 3;

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<boost::asio::ip::tcp::socket> m_waiting;
  };

  /** Lets the instance find out by requests that fail. */
  void Detect(milliseconds duration = kDetection) {
    f.CallAt(*cut_off, "/safe/x");
    const TimePoint end = f.clock.Now() + duration;
    f.Until([&] { return f.clock.Now() >= end; });
  }

  bool IsAnswered(TestCaller & caller, const std::string& status) {
    return f.Until([&] { return caller.Has("HTTP/1.1 "); }) && caller.Has("HTTP/1.1 " + status);
  }
};

// Guards against an instance that refuses everybody, though its peers reach the servers.
TEST(CutOffPath, ItsRequestsAreServedAtTheFirstAttemptByAPeer) {
  Detect();
  for (const char* path : {"/safe/x", "/once/x", "/events/x", "/safe/y", "/once/y"}) {
    TestCaller& caller = f.CallAt(*cut_off, path);
    CHECK_TRUE(IsAnswered(caller, "200"));
    CHECK_TRUE(caller.Has("X-Signature: s"));
  }
}

// The same if connections to the servers hang.
TEST(CutOffPath, ItsRequestsAreServedByAPeerIfConnectionsHang) {
  constexpr milliseconds kStabilityWindow{3'000};
  const HangingAddress hanging;
  const auto view = ViewWithoutServers({f.traffic.get()});
  for (auto& [name, server] : view->servers) {
    server.address = hanging.Get();
  }
  cut_off->SetView(view);
  Detect(kStabilityWindow);
  for (const char* path : {"/safe/x", "/once/x", "/events/x"}) {
    CHECK_TRUE(IsAnswered(f.CallAt(*cut_off, path), "200"));
  }
}

// Guards against a request that goes round among instances that all reach no server.
TEST(CutOffPath, IfNoPeerReachesAServerItIsRefusedAtOnce) {
  constexpr milliseconds kAtOnce{300};
  const auto peer = f.MakeTraffic("peer-1");
  cut_off->SetView(ViewWithoutServers({peer.get()}));
  peer->SetView(ViewWithoutServers({cut_off.get()}));
  f.CallAt(*peer, "/safe/x");
  Detect();
  for (const char* path : {"/safe/x", "/once/x", "/events/x"}) {
    const TimePoint sent_at = f.clock.Now();
    CHECK_TRUE(IsAnswered(f.CallAt(*cut_off, path), "503"));
    CHECK_TRUE(f.clock.Now() - sent_at < kAtOnce);
  }
}

// Guards against an instance that goes on asking peers once it reaches servers again.
TEST(CutOffPath, OnceItReachesAServerItSendsItsRequestsItself) {
  Detect();
  CHECK_TRUE(IsAnswered(f.CallAt(*cut_off, "/safe/x"), "200"));
  const auto view = std::make_shared<ForwardingView>(*f.view);
  view->instances = ViewWithoutServers({f.traffic.get()})->instances;
  cut_off->SetView(view);
  const TimePoint end = f.clock.Now() + kDetection;
  f.Until([&] { return f.clock.Now() >= end; });
  f.traffic.reset();
  CHECK_TRUE(IsAnswered(f.CallAt(*cut_off, "/safe/x"), "200"));
}

}  // namespace zinnia
