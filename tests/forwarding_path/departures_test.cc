#include <algorithm>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

/** Server "a" is chosen for a request, and leaves while a connection to it is being opened. */
TEST_GROUP(ServerDepartures) {
  ForwardingFixture f;
  ServerEntry b_entry;

  void setup() override {
    f.Script([](RawServer::Connection& connection) {
      connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
    });
    const auto only_a = std::make_shared<ForwardingView>(*f.view);
    b_entry = only_a->servers.at("b");
    only_a->servers.erase("b");
    SetView(only_a);
  }

  void SetView(const std::shared_ptr<ForwardingView>& view) {
    f.view = view;
    f.traffic->SetView(view);
  }

  bool HasLogged(const std::string& event) const {
    return std::find(f.logger.events.begin(), f.logger.events.end(), event) !=
           f.logger.events.end();
  }

  /** Sends a request, changes the view before the connection is open, and waits for the answer. */
  template <typename Change>
  TestCaller& CallAndChange(Change change) {
    TestCaller& caller = f.Call("/once/x");
    CHECK_TRUE(f.Until([this] { return HasLogged("request_sent"); }));
    const auto changed = std::make_shared<ForwardingView>(*f.view);
    change(*changed);
    SetView(changed);
    CHECK_TRUE(f.Until([&] { return caller.Has("HTTP/1.1") && caller.Has("\r\n\r\n"); }));
    return caller;
  }
};

// Guards against a request that was chosen before the news that a server leaves and written after.
TEST(ServerDepartures, ARequestGoesToAnotherServerIfItsServerBeginsToLeaveWhileConnecting) {
  const TestCaller& caller = CallAndChange([this](ForwardingView& view) {
    view.servers.at("a").draining = true;
    view.servers["b"] = b_entry;
  });
  CHECK_TRUE(caller.Has("200 OK"));
  CHECK_EQUAL(0U, f.a.received.size());
  CHECK_EQUAL(1U, f.b.received.size());
}

TEST(ServerDepartures, ARequestGoesToAnotherServerIfItsServerIsGoneWhileConnecting) {
  const TestCaller& caller = CallAndChange([this](ForwardingView& view) {
    view.servers.erase("a");
    view.servers["b"] = b_entry;
  });
  CHECK_TRUE(caller.Has("200 OK"));
  CHECK_EQUAL(0U, f.a.received.size());
  CHECK_EQUAL(1U, f.b.received.size());
}

TEST(ServerDepartures, ARequestIsRefusedAsNotRunIfNoOtherServerIsLeft) {
  const TestCaller& caller =
      CallAndChange([](ForwardingView& view) { view.servers.at("a").draining = true; });
  CHECK_TRUE(caller.Has("503"));
  CHECK_EQUAL(0U, f.Arrivals());
}

}  // namespace zinnia
