#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <memory>
#include <thread>
#include <vector>

#include "tests/forwarding_path/forwarding_fixture.h"
#include "tests/forwarding_path/polling_caller.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

/** On which connection a caller sends the request that it does not wait for. */
enum class Arrival { kNewConnection, kKeptConnection, kOfPeer };

/** A caller that leaves, as one row of a table. */
struct LeftCaller {
  const char* path;
  Arrival arrival;
  Departure departure;
};

/** Callers that leave while the loop stands still, so that their requests and departures lie in the
    kernel together. */
TEST_GROUP(LeftCallerPath) {
  static constexpr std::size_t kIdleConnections = 8;
  static constexpr std::size_t kCallers = 20;
  static constexpr std::array<LeftCaller, 10> kTable = {{
      {"/safe/x", Arrival::kNewConnection, Departure::kInOrder},
      {"/safe/x", Arrival::kNewConnection, Departure::kReset},
      {"/safe/x", Arrival::kKeptConnection, Departure::kInOrder},
      {"/safe/x", Arrival::kKeptConnection, Departure::kReset},
      {"/safe/x", Arrival::kOfPeer, Departure::kInOrder},
      {"/once/x", Arrival::kNewConnection, Departure::kInOrder},
      {"/once/x", Arrival::kKeptConnection, Departure::kReset},
      {"/events/x", Arrival::kNewConnection, Departure::kInOrder},
      {"/events/x", Arrival::kKeptConnection, Departure::kInOrder},
      {"/events/x", Arrival::kOfPeer, Departure::kReset},
  }};

  ForwardingFixture f;
  std::vector<std::unique_ptr<PollingCaller>> callers;

  void setup() override {
    f.Script(Answer);
  }

  static void Answer(Connection & connection) {
    connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
  }

  static void AnswerWithEvents(Connection & connection) {
    connection.Write(ForwardingFixture::Head("Transfer-Encoding: chunked\r\n") +
                     ForwardingFixture::Chunk(ForwardingFixture::Event(1)) + "0\r\n\r\n");
  }

  static std::string Request(const std::string& path,
                             milliseconds deadline = std::chrono::seconds(60)) {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\nX-Key: key-1\r\n"
        "X-Deadline: {}\r\nContent-Length: 4\r\n\r\nbody",
        path, deadline.count());
  }

  std::uint16_t PortOf(Arrival arrival) const {
    ForwardServer& server = f.traffic->Server();
    return arrival == Arrival::kOfPeer ? server.PeerRequestsPort() : server.Port();
  }

  PollingCaller& Connect(Arrival arrival = Arrival::kNewConnection) {
    callers.push_back(std::make_unique<PollingCaller>(PortOf(arrival)));
    return *callers.back();
  }

  bool AllHaveAnswers(std::size_t answers) {
    return f.Until([&] {
      return std::all_of(callers.begin(), callers.end(), [&](const auto& caller) {
        caller->Poll();
        return caller->Answers() >= answers;
      });
    });
  }

  void Run(milliseconds duration) {
    f.thread.Loop().restart();
    f.thread.Loop().run_for(duration);
  }

  /** Leaves idle connections to the servers, as after requests that ran at the same time. */
  void WarmPool() {
    std::vector<Connection*> open;
    f.Script([&open](Connection& connection) { open.push_back(&connection); });
    for (std::size_t number = 0; number < kIdleConnections; ++number) {
      Connect().Send(Request("/safe/x"));
    }
    CHECK_TRUE(f.Until([&] { return open.size() == kIdleConnections; }));
    for (Connection* connection : open) {
      Answer(*connection);
    }
    CHECK_TRUE(AllHaveAnswers(1));
    Run(milliseconds(20));
    callers.clear();
    Run(milliseconds(20));
    f.Script(Answer);
    f.a.received.clear();
    f.b.received.clear();
  }

  /** Returns how many requests reach servers after their callers have left. */
  std::size_t SentAfterDeparture(const LeftCaller& row) {
    for (std::size_t number = 0; number < kCallers; ++number) {
      Connect(row.arrival);
    }
    if (row.arrival == Arrival::kKeptConnection) {
      for (const auto& caller : callers) {
        caller->Send(Request("/safe/x"));
      }
      CHECK_TRUE(AllHaveAnswers(1));
    } else {
      Run(milliseconds(20));  // Connections are accepted before the loop stands still.
    }
    const std::size_t before = f.Arrivals();
    for (const auto& caller : callers) {
      caller->Send(Request(row.path));
      caller->Leave(row.departure);
    }
    Run(milliseconds(150));
    callers.clear();
    return f.Arrivals() - before;
  }

  void CheckNoneIsSent() {
    for (const LeftCaller& row : kTable) {
      const std::string text =
          fmt::format("{}, arrival {}, departure {}", row.path, static_cast<int>(row.arrival),
                      static_cast<int>(row.departure));
      const std::size_t sent = SentAfterDeparture(row);
      CHECK_EQUAL_TEXT(0U, sent, text.c_str());
    }
  }
};

// Guards against requests that are sent on although their callers have left already.
TEST(LeftCallerPath, RequestsOfCallersWhoHaveLeftAreNotSentOnIdleConnections) {
  WarmPool();
  CheckNoneIsSent();
}

// The same where a connection has to be opened first.
TEST(LeftCallerPath, RequestsOfCallersWhoHaveLeftAreNotSentOnNewConnections) {
  CheckNoneIsSent();
}

// The same for a connection that was never accepted before the loop stood still.
TEST(LeftCallerPath, RequestsOfCallersWhoHaveLeftBeforeTheyWereAcceptedAreNotSent) {
  WarmPool();
  for (const Departure departure : {Departure::kInOrder, Departure::kReset}) {
    for (std::size_t number = 0; number < kCallers; ++number) {
      PollingCaller& caller = Connect();
      caller.Send(Request("/safe/x"));
      caller.Leave(departure);
    }
    Run(milliseconds(150));
    CHECK_EQUAL(0U, f.Arrivals());
  }
}

// Guards against a caller who is not watched as it has sent its next request already.
TEST(LeftCallerPath, ACallerWithARequestBehindTheFirstIsHeardToLeave) {
  for (const bool arrives_later : {false, true}) {
    f.Script([](Connection&) {});
    PollingCaller& caller = Connect();
    caller.Send(Request("/safe/x") + (arrives_later ? "" : Request("/safe/x")));
    const std::size_t before = f.Arrivals();
    CHECK_TRUE(f.Until([&] { return f.Arrivals() == before + 1; }));
    if (arrives_later) {
      caller.Send(Request("/safe/x"));
      Run(milliseconds(120));
    }
    f.a.other_side_closed = false;
    f.b.other_side_closed = false;
    caller.Leave(Departure::kInOrder);
    Run(milliseconds(300));
    CHECK_TRUE(f.a.other_side_closed || f.b.other_side_closed);
    CHECK_EQUAL(before + 1, f.Arrivals());
  }
}

// Guards against a repeat for a caller who left while the first attempt failed.
TEST(LeftCallerPath, ARequestIsNotRepeatedAfterItsCallerHasLeft) {
  for (const Departure departure : {Departure::kInOrder, Departure::kReset}) {
    WarmPool();
    PollingCaller& caller = Connect();
    f.Script([&caller, departure](Connection& connection) {
      connection.Close();
      caller.Leave(departure);
    });
    const std::size_t before = f.Arrivals();
    caller.Send(Request("/safe/x"));
    Run(milliseconds(150));
    CHECK_EQUAL(before + 1, f.Arrivals());
    callers.clear();
  }
}

// Guards against a deadline that is counted from the reading of a request that waited long for it.
TEST(LeftCallerPath, TheTimeThatARequestLayUnreadCountsAgainstItsDeadline) {
  constexpr milliseconds kStandstill{200};
  constexpr milliseconds kDeadline{10'000};
  PollingCaller& caller = Connect();
  Run(milliseconds(20));
  caller.Send(Request("/safe/x", kDeadline));
  std::this_thread::sleep_for(kStandstill);
  CHECK_TRUE(AllHaveAnswers(1));
  const RawServer& server = f.a.received.empty() ? f.b : f.a;
  const int told = std::stoi(std::string(server.received.back()["X-Deadline"]));
  CHECK_TRUE(told <= (kDeadline - kStandstill).count() + 10);
}

// Guards against sending a request on whose time was over before it was read.
TEST(LeftCallerPath, ARequestWhoseTimeIsOverAsItIsReadIsRefusedAsNotRun) {
  PollingCaller& caller = Connect();
  Run(milliseconds(20));
  caller.Send(Request("/safe/x", milliseconds(100)));
  std::this_thread::sleep_for(milliseconds(150));
  CHECK_TRUE(AllHaveAnswers(1));
  CHECK_TRUE(caller.received.find("HTTP/1.1 503") != std::string::npos);
  CHECK_TRUE(caller.received.find("Retry-After: ") != std::string::npos);
  CHECK_EQUAL(0U, f.Arrivals());
}

// Guards against refusing or forgetting those who stay beside those who leave.
TEST(LeftCallerPath, AfterAStandstillThoseWhoStayAreServed) {
  WarmPool();
  f.Script(AnswerWithEvents);
  for (std::size_t number = 0; number < kCallers; ++number) {
    Connect();
  }
  Run(milliseconds(20));
  for (const auto& caller : callers) {
    caller->Send(Request("/events/x"));
  }
  for (std::size_t number = 0; number < kCallers; number += 2) {
    callers[number]->Leave(Departure::kInOrder);
  }
  std::erase_if(callers, [number = 0](const auto&) mutable { return number++ % 2 == 0; });
  CHECK_TRUE(AllHaveAnswers(1));
  for (const auto& caller : callers) {
    CHECK_TRUE(caller->received.starts_with("HTTP/1.1 200"));
  }
  CHECK_EQUAL(callers.size(), f.Arrivals());
}

// Guards against sending a request that waited inside the instance after its caller has left.
TEST(LeftCallerPath, RequestsThatWaitAreNotSentAfterTheirCallersHaveLeft) {
  const auto without_configuration = std::make_shared<ForwardingView>();
  const auto without_servers = std::make_shared<ForwardingView>(*f.view);
  without_servers->servers.clear();
  for (const auto& view : {without_configuration, without_servers}) {
    WarmPool();
    f.Script(AnswerWithEvents);
    f.traffic->SetView(view);
    for (std::size_t number = 0; number < kCallers; ++number) {
      Connect().Send(Request("/events/x"));
    }
    Run(milliseconds(50));
    for (std::size_t number = 1; number < kCallers; ++number) {
      callers[number]->Leave(Departure::kInOrder);
    }
    callers.resize(1);
    f.traffic->SetView(f.view);
    CHECK_TRUE(AllHaveAnswers(1));
    Run(milliseconds(150));
    CHECK_TRUE(callers.front()->received.starts_with("HTTP/1.1 200"));
    CHECK_EQUAL(1U, f.Arrivals());
    callers.clear();
  }
}

}  // namespace zinnia
