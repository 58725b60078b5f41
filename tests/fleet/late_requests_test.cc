#include <chrono>
#include <functional>
#include <list>
#include <string>
#include <thread>

#include "platform/platform_names.h"
#include "tests/fleet/small_fleet.h"

#include <CppUTest/TestHarness.h>

namespace zinnia::platform::soak {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/** A request whose last byte is sent late in the grace time of the instance that reads it. */
struct LateRequest {
  std::string id;
  std::string route;

  /** After the signal to stop. */
  milliseconds ends_at{0};
  milliseconds deadline{0};

  /** The status line, or nothing if the connection has ended without an answer. */
  std::string answer;

  /** The instance closed the connection before the last byte was sent. */
  bool was_left = false;
};

std::string HeadOf(const LateRequest& request) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}{}\r\n{}: {}\r\nContent-Length: 2\r\n\r\n{{",
      request.route, kHost, names::kRequestId, request.id, names::kAuthorization, names::kKeyScheme,
      kKey, names::kDeadline, request.deadline.count());
}

void Send(Socket socket, LateRequest& request, steady_clock::time_point signalled_at) {
  std::this_thread::sleep_until(signalled_at + request.ends_at);
  std::string received;
  if (socket.Read(received, milliseconds(0)) == ReadOutcome::kClosed || !socket.Write("}")) {
    request.was_left = true;
    return;
  }
  const auto give_up_at = steady_clock::now() + std::chrono::seconds(10);
  while (steady_clock::now() < give_up_at && received.find("\r\n\r\n") == std::string::npos) {
    if (socket.Read(received, milliseconds(20)) == ReadOutcome::kClosed) {
      return;
    }
  }
  request.answer = received.substr(0, received.find("\r\n"));
}

}  // namespace

/** An instance stops while requests are still being sent to it. */
TEST_GROUP(LateRequests) {
  /** Of the settings of the soak's instances. */
  static constexpr milliseconds kGrace{6'000};

  /** When the first bytes are sent, from which deadlines count: shortly before the instance accepts
      no more connections. */
  static constexpr milliseconds kBeginsAt{2'400};

  /** What is left then is answered. */
  static constexpr milliseconds kAnsweredAt = kGrace - milliseconds(600);

  SmallFleet fleet{"late_requests", /*instances=*/1, /*servers=*/2};
  std::list<LateRequest> requests;

  void Add(milliseconds ends_at, milliseconds deadline) {
    for (const std::string route : {"/once/", "/read/"}) {
      const std::string id = fmt::format("late-{}", requests.size());
      requests.push_back({id, route + id, ends_at, deadline, {}, false});
    }
  }

  void Play() {
    const std::uint16_t port = fleet.Members().front()->callers_port;
    fleet.Terminate();
    const auto signalled_at = steady_clock::now();
    std::this_thread::sleep_until(signalled_at + kBeginsAt);
    std::list<Socket> sockets;
    for (const LateRequest& request : requests) {
      sockets.push_back(*Socket::Connect(port));
      CHECK_TRUE(sockets.back().Write(HeadOf(request)));
    }
    std::list<std::thread> senders;
    for (LateRequest& request : requests) {
      senders.emplace_back(Send, std::move(sockets.front()), std::ref(request), signalled_at);
      sockets.pop_front();
    }
    for (std::thread& sender : senders) {
      sender.join();
    }
  }
};

// Guards against requests that are taken and passed on late in a planned stop, and cut with no
// answer, or answered as perhaps run, at its end.
TEST(LateRequests, WhatIsPassedOnIsAnsweredAndWhatCannotEndInTimeIsRefused) {
  CHECK_TRUE(fleet.IsServed());
  for (const auto& backend : fleet.backends) {
    backend->SetMode(BackendMode::kHang);
  }
  for (const int ends_at : {3'000, 4'000, 5'000, 5'350}) {
    Add(milliseconds(ends_at), milliseconds(4'000));
  }
  Add(milliseconds(3'000), milliseconds(1'000));
  for (int ends_at = 5'400; ends_at < 5'900; ends_at += 10) {
    Add(milliseconds(ends_at), milliseconds(4'000));
  }
  Play();
  int passed_on = 0;
  int cut = 0;
  for (const LateRequest& request : requests) {
    const bool has_arrived = fleet.ledger.HasArrived(request.id);
    passed_on += has_arrived ? 1 : 0;
    cut += has_arrived && request.answer.empty() ? 1 : 0;
  }
  UT_PRINT(fmt::format("{} of {} passed on, {} of these ended without an answer", passed_on,
                       requests.size(), cut)
               .c_str());
  for (const LateRequest& request : requests) {
    const std::string text =
        fmt::format("{} at {} ms, {} ms left: '{}'", request.id, request.ends_at.count(),
                    request.deadline.count(), request.answer);
    if (fleet.ledger.HasArrived(request.id)) {
      CHECK_TRUE_TEXT(kBeginsAt + request.deadline <= kAnsweredAt, text.c_str());
      CHECK_TRUE_TEXT(request.answer.starts_with("HTTP/1.1 504"), text.c_str());
    } else {
      CHECK_TRUE_TEXT(
          request.was_left || request.answer.empty() || request.answer.starts_with("HTTP/1.1 503"),
          text.c_str());
      CHECK_TRUE_TEXT(request.ends_at > kAnsweredAt || !request.answer.empty(), text.c_str());
    }
  }
  CHECK_EQUAL(2, passed_on);  // Those whose time is over before the end.
}

}  // namespace zinnia::platform::soak
