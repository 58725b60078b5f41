#include <algorithm>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

/** Twelve servers. A request with the body "crash" ends each server that begins to run it. */
TEST_GROUP(ServerCrashPath) {
  static constexpr int kServers = 12;

  /** What the rule allows for one request. */
  static constexpr int kMaxServersEnded = 3;

  ForwardingFixture f;
  std::vector<std::unique_ptr<RawServer>> servers;

  void setup() override {
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->servers.clear();
    for (int number = 0; number < kServers; ++number) {
      servers.push_back(std::make_unique<RawServer>(f.thread.Loop()));
      RawServer& server = *servers.back();
      server.scripts = {[&server](Connection& connection) { Run(server, connection); }};
      ServerEntry entry;
      entry.name = "s" + std::to_string(number);
      entry.service = "plain";
      entry.address = server.Address();
      entry.most_requests = 6;
      view->servers[entry.name] = entry;
    }
    f.view = view;
    f.traffic->SetView(view);
  }

  static void Run(RawServer & server, Connection & connection) {
    const bool is_stream = connection.request.target().starts_with("/events/");
    const bool crashes = connection.request.body() == "crash";
    if (is_stream) {
      connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n"));
    }
    if (crashes) {
      server.Crash();
    } else if (is_stream) {
      connection.Write(ForwardingFixture::Chunk(ForwardingFixture::Event(1)) + "0\r\n\r\n");
    } else {
      connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
    }
  }

  int CountEnded() const {
    return static_cast<int>(std::count_if(servers.begin(), servers.end(),
                                          [](const auto& server) { return server->HasCrashed(); }));
  }

  void Wait(milliseconds duration) {
    const TimePoint end = f.clock.Now() + duration;
    CHECK_TRUE(f.Until([&] { return f.clock.Now() >= end; }));
  }

  /** Sends client attempts one after the other, each once the one before has its answer. */
  void SendInSeries(const std::string& path, int attempts) {
    for (int attempt = 0; attempt < attempts; ++attempt) {
      TestCaller& caller = f.Call(path, "key-1", "crash");
      CHECK_TRUE(f.Until([&] {
        return caller.IsClosed() || caller.Has("HTTP/1.1 502") || caller.Has("HTTP/1.1 503");
      }));
    }
  }
};

// Guards against a request that crashes each server it reaches being sent to one after the other.
TEST(ServerCrashPath, AStreamThatCrashesServersIsStoppedAfterTheThird) {
  SendInSeries("/events/x", 10);
  CHECK_TRUE(CountEnded() <= kMaxServersEnded);
}

// The same for a request whose answer comes whole, so that nothing shows that it had begun.
TEST(ServerCrashPath, APlainRequestThatCrashesServersIsStopped) {
  SendInSeries("/safe/x", 10);
  CHECK_TRUE(CountEnded() <= kMaxServersEnded);
}

// The same for callers that wait before they return, as most do.
TEST(ServerCrashPath, ARequestThatReturnsAfterAWhileIsStoppedAfterTheThird) {
  for (const char* path : {"/events/x", "/safe/y"}) {
    const int before = CountEnded();
    for (int attempt = 0; attempt < 6; ++attempt) {
      SendInSeries(path, 1);
      Wait(milliseconds(300));
    }
    CHECK_EQUAL(kMaxServersEnded, CountEnded() - before);
    CHECK_TRUE(f.callers.back()->Has("HTTP/1.1 503"));
    const std::size_t field = f.callers.back()->Received().find("Retry-After: ");
    CHECK_TRUE(field != std::string::npos);
    CHECK_TRUE(std::stod(f.callers.back()->Received().substr(field + 13)) > 10.0);
  }
}

// Guards against refusing other requests of the same caller on the same path.
TEST(ServerCrashPath, OtherRequestsOfTheSameCallerAreServed) {
  SendInSeries("/events/x", 10);
  TestCaller& other = f.Call("/events/x", "key-1", "sound");
  CHECK_TRUE(f.Until([&] { return other.Has("data: e1"); }));
  CHECK_TRUE(f.Until([&] { return !f.crash_reports.empty(); }));
}

// Guards against counting answers that break off at servers that live as crashes.
TEST(ServerCrashPath, ARequestWhoseAnswersBreakOffAtServersThatLiveIsNotRefused) {
  for (const auto& server : servers) {
    server->scripts = {[](Connection& connection) {
      connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n"));
      connection.Close();
    }};
  }
  constexpr std::size_t kAttempts = 6;
  std::size_t sends = 0;
  for (std::size_t attempt = 0; attempt < kAttempts; ++attempt) {
    SendInSeries("/events/x", 1);
    Wait(milliseconds(300));
  }
  for (const auto& server : servers) {
    sends += server->received.size();
  }
  CHECK_EQUAL(2 * kAttempts, sends);  // As many servers as the route allows, each time.
  CHECK_TRUE(f.crash_reports.empty());
}

// Guards against an instance that loses its links to all servers and tells its peers that these
// crashed under the requests which it had there.
TEST(ServerCrashPath, AnInstanceThatReachesNoServerReportsNoCrash) {
  for (const auto& server : servers) {
    server->scripts = {[](Connection&) {}};
  }
  for (int request = 0; request < 2 * kServers; ++request) {
    f.Call("/once/x", "key-1", "body " + std::to_string(request));
  }
  CHECK_TRUE(f.Until([&] {
    return std::all_of(servers.begin(), servers.end(),
                       [](const auto& server) { return !server->received.empty(); });
  }));
  for (const auto& server : servers) {
    server->Crash();
  }
  Wait(milliseconds(1'000));
  CHECK_EQUAL(0U, f.crash_reports.size());
}

// Guards against a request that crashes one server after the other and is never recognised, since
// its caller leaves before each crash and sends it again at once.
TEST(ServerCrashPath, ARequestWhoseCallerLeavesBeforeEachCrashIsStopped) {
  constexpr int kRetriesAllowed = 3;
  static constexpr milliseconds kCrashAfter{60};
  std::vector<std::unique_ptr<boost::asio::steady_timer>> timers;
  for (const auto& server : servers) {
    server->scripts = {[&timers, &server = *server, &loop = f.thread.Loop()](Connection&) {
      timers.push_back(std::make_unique<boost::asio::steady_timer>(loop, kCrashAfter));
      timers.back()->async_wait([&server](const auto& error) {
        if (!error) {
          server.Crash();
        }
      });
    }};
  }
  const auto received = [this] {
    std::size_t sum = 0;
    for (const auto& server : servers) {
      sum += server->received.size();
    }
    return sum;
  };
  for (int attempt = 0; attempt < 2 * kServers; ++attempt) {
    const std::size_t before = received();
    TestCaller& caller = f.Call("/safe/x", "key-1", "crash");
    CHECK_TRUE(f.Until([&] { return received() > before || caller.Has("HTTP/1.1 503"); }));
    caller.Close();
    Wait(milliseconds(150));
  }
  CHECK_TRUE(CountEnded() <= kMaxServersEnded + kRetriesAllowed);
}

}  // namespace zinnia
