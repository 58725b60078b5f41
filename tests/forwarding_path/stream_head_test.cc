#include <fmt/format.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/forwarding_path/forwarding_fixture.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

/** What one of the two servers does next. */
enum class Act { kHead, kEvent, kHalfEvent, kEnd, kClose, kRefuse, kFail };

struct Step {
  int server = 1;
  Act act = Act::kHead;
};

constexpr Step kHead1{1, Act::kHead};
constexpr Step kEvent1{1, Act::kEvent};
constexpr Step kHalf1{1, Act::kHalfEvent};
constexpr Step kEnd1{1, Act::kEnd};
constexpr Step kClose1{1, Act::kClose};
constexpr Step kHead2{2, Act::kHead};
constexpr Step kEvent2{2, Act::kEvent};
constexpr Step kEnd2{2, Act::kEnd};
constexpr Step kClose2{2, Act::kClose};
constexpr Step kRefuse2{2, Act::kRefuse};
constexpr Step kFail2{2, Act::kFail};

/** An order in which two servers that have the request act, and whose answer the caller gets. */
struct HeadOrder {
  std::string_view name;
  std::vector<Step> steps;
  std::string_view status;

  /** The server that has signed the answer; none if the instance answers itself. */
  std::string_view signed_by;
  std::string_view events;
};

const std::array kHeadOrders = {
    HeadOrder{"the first goes on, only it sent a head", {kHead1, kEvent1, kEnd1}, "200", "1", "1"},
    HeadOrder{"both sent a head, the first goes on",
              {kHead1, kHead2, kEvent1, kEnd1},
              "200",
              "1",
              "1"},
    HeadOrder{"the head of the second came first, the first goes on",
              {kHead2, kHead1, kEvent1, kEnd1},
              "200",
              "1",
              "1"},
    HeadOrder{"the second ends after its head, the first goes on",
              {kHead2, kClose2, kHead1, kEvent1, kEnd1},
              "200",
              "1",
              "1"},
    HeadOrder{"the second ends after its head, the first had sent one",
              {kHead1, kHead2, kClose2, kEvent1, kEnd1},
              "200",
              "1",
              "1"},
    HeadOrder{"the first ends after its head",
              {kHead1, kClose1, kHead2, kEvent2, kEnd2},
              "200",
              "2",
              "2"},
    HeadOrder{"the first is silent after its head",
              {kHead1, kHead2, kEvent2, kEnd2},
              "200",
              "2",
              "2"},
    HeadOrder{"the first is silent within its first event",
              {kHead1, kHalf1, kHead2, kEvent2, kEnd2},
              "200",
              "2",
              "2"},
    HeadOrder{"the first ends within its first event",
              {kHead1, kHalf1, kClose1, kHead2, kEvent2, kEnd2},
              "200",
              "2",
              "2"},
    HeadOrder{"the second resumes the stream of the first",
              {kHead1, kEvent1, kHead2, kEvent2, kEnd2},
              "200",
              "1",
              "12"},
    HeadOrder{"the first ends a stream without events", {kHead1, kEnd1}, "200", "1", ""},
    HeadOrder{"the first ends a stream without events, the second sent a head",
              {kHead2, kHead1, kEnd1},
              "200",
              "1",
              ""},
    HeadOrder{"the second ends a stream without events", {kHead1, kHead2, kEnd2}, "200", "2", ""},
    HeadOrder{"both end after their heads", {kHead1, kClose1, kHead2, kClose2}, "502", "", ""},
    HeadOrder{"the second refuses", {kHead1, kClose1, kRefuse2}, "502", "", ""},
    HeadOrder{"the second fails", {kHead1, kClose1, kFail2}, "500", "2", ""},
};

}  // namespace

/** Orders of heads and events of two servers, the second of which is asked as the first is silent
    or has ended. Signatures and events name the server that sent them. */
TEST_GROUP(StreamHeadPath) {
  static constexpr milliseconds kGapObjective{100};
  static constexpr milliseconds kLatencyObjective{150};

  /** Between two steps, so that each is read before the next. */
  static constexpr milliseconds kPause{20};

  static std::string Head(std::string_view status, int server, std::string_view framing) {
    return fmt::format("HTTP/1.1 {}\r\nX-Id: r-1\r\nX-Signature: {}\r\n{}\r\n\r\n", status, server,
                       framing);
  }

  static std::string BytesOf(Act act, int server, int event) {
    const std::string whole = fmt::format("id: {}\ndata: by {}\n\n", event, server);
    switch (act) {
      case Act::kHead:
        return Head("200 OK", server, "Transfer-Encoding: chunked");
      case Act::kEvent:
        return ForwardingFixture::Chunk(whole);
      case Act::kHalfEvent:
        return ForwardingFixture::Chunk(whole.substr(0, whole.size() / 2));
      case Act::kEnd:
        return "0\r\n\r\n";
      case Act::kClose:
        return {};
      case Act::kRefuse:
        return "HTTP/1.1 503 Full\r\nX-Id: r-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
      case Act::kFail:
        return Head("500 Failed", server, "Content-Length: 0");
    }
    return {};
  }

  static void SetObjectives(ForwardingFixture & f) {
    const auto rules = std::make_shared<ForwardingRules>(*f.view->rules);
    for (ForwardRoute& route : rules->routes) {
      route.event_gap_objective = kGapObjective;
      route.latency_objective = kLatencyObjective;
    }
    const auto view = std::make_shared<ForwardingView>(*f.view);
    view->rules = rules;
    view->routes = std::make_shared<RouteTable>(*rules);
    f.view = view;
    f.traffic->SetView(view);
  }

  static void Wait(ForwardingFixture & f, milliseconds duration) {
    const TimePoint end = f.clock.Now() + duration;
    CHECK_TRUE(f.Until([&] { return f.clock.Now() >= end; }));
  }

  static bool HasAnswer(const TestCaller& caller) {
    return caller.IsClosed() || caller.Has("\r\n0\r\n\r\n") || caller.Has("HTTP/1.1 50");
  }

  /** The numbers of the servers whose events the caller has got, in order. */
  static std::string EventsOf(const std::string& received) {
    constexpr std::string_view kMark = "data: by ";
    std::string servers;
    for (std::size_t at = received.find(kMark); at != std::string::npos;
         at = received.find(kMark, at + 1)) {
      servers += received[at + kMark.size()];
    }
    return servers;
  }

  static std::string SignatureOf(const std::string& received) {
    constexpr std::string_view kField = "X-Signature: ";
    const std::size_t at = received.find(kField);
    return at == std::string::npos ? std::string() : received.substr(at + kField.size(), 1);
  }

  static void CheckAnswer(const TestCaller& caller, const HeadOrder& order) {
    const std::string text(order.name);
    const std::string& received = caller.Received();
    STRCMP_EQUAL_TEXT(std::string(order.status).c_str(), received.substr(9, 3).c_str(),
                      text.c_str());
    STRCMP_EQUAL_TEXT(std::string(order.signed_by).c_str(), SignatureOf(received).c_str(),
                      text.c_str());
    STRCMP_EQUAL_TEXT(std::string(order.events).c_str(), EventsOf(received).c_str(), text.c_str());
    CHECK_EQUAL_TEXT(order.status == "200", caller.Has("\r\n0\r\n\r\n"), text.c_str());
    CHECK_EQUAL_TEXT(received.find("HTTP/1.1 "), received.rfind("HTTP/1.1 "), text.c_str());
  }

  static void Play(const HeadOrder& order) {
    ForwardingFixture f;
    f.SetChains();
    SetObjectives(f);
    f.calls.report = MakeError(ErrorKind::kBackendTimeout, "no report");
    std::array<Connection*, 2> connections = {};
    f.a.scripts = {[&](Connection& connection) { connections[0] = &connection; }};
    f.b.scripts = {[&](Connection& connection) { connections[1] = &connection; }};
    const TestCaller& caller = f.Call("/events/x");
    int event = 0;
    for (const Step& step : order.steps) {
      Connection*& connection = connections.at(static_cast<std::size_t>(step.server) - 1);
      const bool is_there = f.Until([&] { return connection != nullptr || HasAnswer(caller); });
      if (!is_there || connection == nullptr) {
        break;  // Answered too early, which the check below shows.
      }
      if (step.act == Act::kClose) {
        connection->Close();
      } else {
        event += step.act == Act::kEvent ? 1 : 0;
        boost::system::error_code ignored;
        boost::asio::write(connection->socket,
                           boost::asio::buffer(BytesOf(step.act, step.server, event)), ignored);
      }
      Wait(f, kPause);
    }
    CHECK_TRUE_TEXT(f.Until([&] { return HasAnswer(caller); }), std::string(order.name).c_str());
    Wait(f, kPause);
    CheckAnswer(caller, order);
  }
};

// Guards against a stream that bears the head and signature of one server over another's events.
TEST(StreamHeadPath, TheHeadIsThatOfTheServerOfTheFirstEvent) {
  for (const HeadOrder& order : kHeadOrders) {
    Play(order);
  }
}

}  // namespace zinnia
