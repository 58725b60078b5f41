// Sends requests whose bodies are lines of text, the last of which is "0", and counts those that
// have no answer half a second after their route's time.

#include <atomic>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "platform/platform_names.h"
#include "platform/soak/socket.h"
#include "review/standin-2/worker_standin.h"
#include "review/standin-2/world.h"

namespace zinnia::review {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;
namespace names = platform::names;
using platform::soak::ReadOutcome;
using platform::soak::Socket;
using std::chrono::milliseconds;

constexpr int kInstances = 3;
constexpr int kServers = 3;
constexpr const char* kKey = "key-of-the-hostel";

/** As the sheet has them for bed-hold. */
constexpr milliseconds kRouteTime{800};
constexpr milliseconds kDeadline{1'500};

/** The bound of the rule: so long after the route's time. */
constexpr milliseconds kAnswerWithin{500};
constexpr std::size_t kFewestLate = 8;

constexpr milliseconds kStabilityWindow{3'000};
constexpr milliseconds kBetweenRequests{100};
constexpr int kRequests = 24;

/** What one segment carries on an Ethernet link, and the time until the next. */
constexpr std::size_t kSegmentBytes = 1'460;
constexpr milliseconds kBetweenSegments{3};
constexpr milliseconds kPoll{10};

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

json::object Configuration() {
  return {{"version", 3},
          {"routes", json::array{json::object{{"name", "bed-hold"},
                                              {"hostname", "desk.example"},
                                              {"path_prefix", "/hold/"},
                                              {"type", "non_idempotent"},
                                              {"service", "booking"},
                                              {"timeout_ms", kRouteTime.count()},
                                              {"target_latency_ms", 150},
                                              {"priority", 2},
                                              {"max_attempts", 1},
                                              {"public", false}}}},
          {"services",
           json::array{json::object{
               {"name", "booking"}, {"health_path", "/healthz"}, {"max_connections", 110}}}},
          {"tenants", json::array{json::object{{"name", "hostel"}, {"api_keys", {kKey}}}}},
          {"limits",
           {{"max_header_bytes", 16'384},
            {"max_body_bytes", 4'194'304},
            {"header_timeout_ms", 5'000},
            {"idle_timeout_ms", 30'000}}}};
}

std::string HeadOf(const std::string& id, std::size_t body_bytes) {
  http::request<http::empty_body> request(http::verb::post, "/hold/bed", 11);
  request.set(http::field::host, "desk.example");
  request.set(http::field::content_type, "text/csv");
  request.set(names::kRequestId, id);
  request.set(names::kAuthorization, std::string(names::kKeyScheme) + kKey);
  request.set(names::kDeadline, std::to_string(kDeadline.count()));
  request.content_length(body_bytes);
  std::ostringstream bytes;
  bytes << request.base();
  return bytes.str();
}

/** A list of nights and beds whose last line, with `last` as its text, begins a segment. */
std::string LongRequest(const std::string& id, const std::string& last) {
  constexpr std::size_t kSegments = 3;
  constexpr std::size_t kDigits = 4;  // Of the length of the body.
  const std::size_t head_bytes = HeadOf(id, 1'000).size();
  static_assert(kSegments * kSegmentBytes < 10'000 && kDigits == 4);
  std::string body;
  const std::size_t before_last = kSegments * kSegmentBytes - head_bytes;
  while (body.size() < before_last) {
    body += "2026-12-07,12\r\n";
  }
  body.resize(before_last - 2);
  body += "\r\n" + last;
  return HeadOf(id, body.size()) + body;
}

std::string ShortRequest(const std::string& id, const std::string& last) {
  return HeadOf(id, last.size()) + last;
}

/** Returns the time until the answer is whole; nothing if there is none by the deadline. */
std::optional<milliseconds> Send(std::uint16_t port, std::string_view bytes) {
  auto socket = Socket::Connect(port);
  if (!socket) {
    return std::nullopt;
  }
  const auto start = Clock::now();
  for (std::size_t sent = 0; sent < bytes.size(); sent += kSegmentBytes) {
    if (!socket->Write(bytes.substr(sent, kSegmentBytes))) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(kBetweenSegments);
  }
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  std::string rest;
  while (!parser.is_done()) {
    if (Clock::now() >= start + kDeadline || socket->Read(rest, kPoll) == ReadOutcome::kClosed) {
      return std::nullopt;
    }
    boost::system::error_code error;
    rest.erase(0, parser.put(boost::asio::buffer(rest), error));
    if (error && error != http::error::need_more) {
      return std::nullopt;
    }
  }
  return std::chrono::duration_cast<milliseconds>(Clock::now() - start);
}

int Play(const std::string& program, const std::string& folder, const std::string& record_file) {
  const char* const trouble = std::getenv("TROUBLE");
  const bool is_troubled = trouble == nullptr || std::string(trouble) != "0";
  Record record(record_file);
  World world(program, folder, kInstances);
  std::atomic<int> runs = 0;
  std::vector<std::unique_ptr<WorkerStandin>> servers;
  servers.reserve(kServers);
  for (int number = 0; number < kServers; ++number) {
    servers.push_back(std::make_unique<WorkerStandin>(
        world, record, "i-" + std::to_string(number),
        [&](const std::string& /*path*/, Meeting /*meeting*/) { ++runs; }));
  }
  world.Put("op/config", Configuration());
  if (!world.Start()) {
    std::cout << "the instances did not become ready\n";
    return kNotRun;
  }
  std::this_thread::sleep_for(kStabilityWindow + milliseconds(1'000));
  // The control differs in one digit.
  const std::string last = is_troubled ? "0\r\n" : "1\r\n";
  std::atomic<int> sent = 0;
  std::atomic<int> beyond_route_time = 0;
  std::atomic<int> late = 0;
  std::vector<std::thread> clients;
  clients.reserve(kRequests);
  for (int number = 0; number < kRequests; ++number) {
    clients.emplace_back([&, number] {
      const bool is_long = number % 2 == 1;
      const std::string id = (is_long ? "long-" : "short-") + std::to_string(number);
      const std::string bytes = is_long ? LongRequest(id, last) : ShortRequest(id, last);
      const auto took =
          Send(world.CallersPort(static_cast<std::size_t>(number % kInstances)), bytes);
      ++sent;
      beyond_route_time += !took || *took > kRouteTime ? 1 : 0;
      late += !took || *took > kRouteTime + kAnswerWithin ? 1 : 0;
      record.Write("client: " + id + " of " + std::to_string(bytes.size()) + " bytes " +
                   (took ? "answered after " + std::to_string(took->count()) + " ms"
                         : "has no answer at its deadline"));
    });
    std::this_thread::sleep_for(kBetweenRequests);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  for (std::size_t instance = 0; instance < world.InstanceCount(); ++instance) {
    record.Write("instance " + std::to_string(instance) +
                 (world.EndOf(instance) ? " has ended" : " runs"));
    world.Kill(instance);
  }
  const std::string result =
      "sent=" + std::to_string(sent) + " run by workers=" + std::to_string(runs) +
      " unanswered at the route's time=" + std::to_string(beyond_route_time) +
      " and half a second later=" + std::to_string(late);
  record.Write(result);
  std::cout << result << "\n";
  const bool is_broken = late >= static_cast<int>(kFewestLate) && 2 * late > beyond_route_time;
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace zinnia::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cout << "usage: body_case PROGRAM FOLDER RECORD\n";
    return zinnia::review::kNotRun;
  }
  const int result = zinnia::review::Play(argv[1], argv[2], argv[3]);
  std::cout.flush();
  std::_Exit(result);
}
