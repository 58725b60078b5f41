#include <fmt/format.h>

#include <memory>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

/** A sound server that is silent for a moment, while news of its start before the stream began
   comes late. */
TEST_GROUP(SilentRestartPath) {
  static constexpr milliseconds kSilence{1'000};

  ForwardingFixture f;
  Connection* open = nullptr;

  void Wait(milliseconds duration) {
    const TimePoint end = f.clock.Now() + duration;
    CHECK_TRUE(f.Until([&] { return f.clock.Now() >= end; }));
  }

  void CheckStreamGoesOn(bool is_said_to_have_ended) {
    f.Script([this](Connection& connection) {
      open = &connection;
      connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                       ForwardingFixture::Chunk(ForwardingFixture::Event(1)));
    });
    const TestCaller& caller = f.Call("/events/x");
    CHECK_TRUE(f.Until([&] { return caller.Has("data: e1"); }));
    const auto later = std::make_shared<ForwardingView>(*f.view);
    if (is_said_to_have_ended) {
      later->ended_incarnations = {f.a.received.empty() ? "b" : "a"};
    }
    later->servers.clear();
    Wait(kSilence);
    f.traffic->SetView(later);
    Wait(milliseconds(100));
    CHECK_FALSE(f.a.other_side_closed || f.b.other_side_closed);
    open->Write(ForwardingFixture::Chunk(ForwardingFixture::Event(2)) + "0\r\n\r\n");
    CHECK_TRUE(f.Until([&] { return caller.Has("\r\n0\r\n\r\n"); }));
    CHECK_EQUAL(1U, f.Arrivals());
  }
};

TEST(SilentRestartPath, ASilentStreamGoesOnWithoutNews) {
  CheckStreamGoesOn(false);
}

// Guards against cutting off a stream that began after the restart of which news comes late.
TEST(SilentRestartPath, ASilentStreamGoesOnThoughItsServerIsSaidToHaveStartedAgain) {
  CheckStreamGoesOn(true);
}

}  // namespace zinnia
