// Sends requests with one long header, within the limit of the configuration, and counts the
// requests of others that are lost as the processes that read it end by themselves.

#include <array>
#include <atomic>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "platform/platform_names.h"
#include "platform/soak/socket.h"
#include "review/standin-2/harmful_play.h"
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

constexpr std::size_t kInstances = 3;
constexpr int kServers = 3;
constexpr const char* kKey = "key-of-the-hostel";

/** The limit of the configuration for the headers of a request, and the length of the one header,
    with and without the disruption. */
constexpr int kMostHeaderBytes = 131'072;
constexpr std::size_t kLongHeader = 70'000;
constexpr std::size_t kShorterHeader = 7'000;

/** So many requests of kept connections may end without an answer after a sound worker got them. */
constexpr int kMostLost = 3;

/** A process is started again after a short delay. */
constexpr milliseconds kStartsAgainAfter{1'000};
constexpr milliseconds kRound{6'000};
constexpr int kRounds = 3;
constexpr milliseconds kDeadline{1'500};
constexpr milliseconds kPoll{10};
constexpr std::size_t kOtherClients = 24;

json::object Configuration() {
  return {{"version", 3},
          {"routes", json::array{json::object{{"name", "bed-hold"},
                                              {"hostname", "desk.example"},
                                              {"path_prefix", "/hold/"},
                                              {"type", "non_idempotent"},
                                              {"service", "booking"},
                                              {"timeout_ms", 800},
                                              {"target_latency_ms", 150},
                                              {"priority", 2},
                                              {"max_attempts", 1},
                                              {"public", false}}}},
          {"services",
           json::array{json::object{
               {"name", "booking"}, {"health_path", "/healthz"}, {"max_connections", 110}}}},
          {"tenants", json::array{json::object{{"name", "hostel"}, {"api_keys", {kKey}}}}},
          {"limits",
           {{"max_header_bytes", kMostHeaderBytes},
            {"max_body_bytes", 4'194'304},
            {"header_timeout_ms", 3'000},
            {"idle_timeout_ms", 15'000}}}};
}

std::string RequestBytes(const std::string& id, std::size_t long_header) {
  http::request<http::string_body> request(http::verb::post, "/hold/" + id, 11);
  request.set(http::field::host, "desk.example");
  request.set(names::kRequestId, id);
  request.set(names::kAuthorization, std::string(names::kKeyScheme) + kKey);
  request.set(names::kDeadline, std::to_string(kDeadline.count()));
  request.body() = "one bed";
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  std::string bytes = text.str();
  if (long_header > 0) {
    const std::size_t second_line = bytes.find("\r\n") + 2;
    bytes.insert(second_line, "Cookie: desk=" + std::string(long_header, 'd') + "\r\n");
  }
  return bytes;
}

/** Sends one request and reads its answer; nothing if the connection ends without one. */
std::optional<unsigned> Exchange(Socket& socket, const std::string& bytes) {
  if (!socket.Write(bytes)) {
    return std::nullopt;
  }
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  std::string rest;
  const auto end = Clock::now() + kDeadline;
  while (!parser.is_done()) {
    if (Clock::now() >= end || socket.Read(rest, kPoll) == ReadOutcome::kClosed) {
      return std::nullopt;
    }
    boost::system::error_code error;
    rest.erase(0, parser.put(boost::asio::buffer(rest), error));
    if (error && error != http::error::need_more) {
      return std::nullopt;
    }
  }
  return parser.get().result_int();
}

/** Requests of the other clients that workers have run, and those without an answer. */
class OthersLedger {
 public:
  void OnRun(const std::string& path) {
    const std::lock_guard lock(m_mutex);
    m_run.insert(path);
  }
  bool HasRun(const std::string& path) const {
    const std::lock_guard lock(m_mutex);
    return m_run.contains(path);
  }

 private:
  mutable std::mutex m_mutex;
  std::set<std::string> m_run;
};

/** One client that keeps its connection for many requests. */
void PlayOther(const World& world,
               std::size_t number,
               Record& record,
               const OthersLedger& ledger,
               const std::atomic<bool>& stopping,
               std::atomic<int>& lost) {
  for (int request = 0; !stopping;) {
    auto socket = Socket::Connect(world.CallersPort(number % kInstances));
    bool is_kept = false;
    while (socket && !stopping) {
      const std::string id = "other-" + std::to_string(number) + "-" + std::to_string(request++);
      const auto status = Exchange(*socket, RequestBytes(id, 0));
      if (!status && is_kept && ledger.HasRun("/hold/" + id)) {
        ++lost;
        record.Write("client: " + id + " has run, and its kept connection ended without an answer");
      }
      if (!status) {
        break;
      }
      is_kept = true;
    }
    std::this_thread::sleep_for(kPoll);
  }
}

int Play(const std::string& program, const std::string& folder, const std::string& record_file) {
  const std::size_t header_bytes = IsTroubled() ? kLongHeader : kShorterHeader;
  Record record(record_file);
  World world(program, folder, static_cast<int>(kInstances));
  OthersLedger ledger;
  std::vector<std::unique_ptr<WorkerStandin>> servers;
  servers.reserve(kServers);
  for (int number = 0; number < kServers; ++number) {
    servers.push_back(std::make_unique<WorkerStandin>(
        world, record, "i-" + std::to_string(number),
        [&ledger](const std::string& path, Meeting /*meeting*/) { ledger.OnRun(path); }));
  }
  world.Put("op/config", Configuration());
  if (!world.Start()) {
    std::cout << "the instances did not become ready\n";
    return kNotRun;
  }
  std::this_thread::sleep_for(kStabilityWindow + milliseconds(1'000));
  std::atomic<bool> stopping = false;
  std::atomic<int> lost = 0;
  std::vector<std::thread> others;
  others.reserve(kOtherClients);
  for (std::size_t number = 0; number < kOtherClients; ++number) {
    others.emplace_back([&, number] { PlayOther(world, number, record, ledger, stopping, lost); });
  }
  std::array<int, kInstances> ends{};
  for (int round = 1; round <= kRounds; ++round) {
    const auto begins = Clock::now();
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      const std::string id = "long-" + std::to_string(round) + "-" + std::to_string(instance);
      auto socket = Socket::Connect(world.CallersPort(instance));
      const auto status = socket ? Exchange(*socket, RequestBytes(id, header_bytes)) : std::nullopt;
      record.Write("client: " + id + " with a header of " + std::to_string(header_bytes) +
                   " bytes: " + (status ? std::to_string(*status) : "no answer"));
    }
    std::this_thread::sleep_for(kStartsAgainAfter);
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      if (const auto end = world.EndOf(instance)) {
        ++ends.at(instance);
        record.Write("process " + std::to_string(instance) + " has ended by itself, wait status " +
                     std::to_string(*end));
        world.StartAgain(instance);
      }
    }
    std::this_thread::sleep_until(begins + kRound);
  }
  stopping = true;
  for (std::thread& other : others) {
    other.join();
  }
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    world.Kill(instance);
  }
  const std::string result =
      "ends of processes: " + std::to_string(ends.at(0)) + ", " + std::to_string(ends.at(1)) +
      ", " + std::to_string(ends.at(2)) +
      "; requests on kept connections lost with them: " + std::to_string(lost);
  record.Write(result);
  std::cout << result << "\n";
  return lost > kMostLost ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace zinnia::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cout << "usage: header_case PROGRAM FOLDER RECORD\n";
    return zinnia::review::kNotRun;
  }
  const int result = zinnia::review::Play(argv[1], argv[2], argv[3]);
  std::cout.flush();
  std::_Exit(result);
}
