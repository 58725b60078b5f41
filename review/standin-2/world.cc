#include "review/standin-2/world.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <sstream>
#include <thread>
#include <utility>

#include "platform/platform_names.h"
#include "platform/soak/socket.h"
#include "tests/processes/free_port.h"

namespace zinnia::review {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;
namespace names = platform::names;
using platform::soak::ReadOutcome;
using platform::soak::Socket;
using std::chrono::milliseconds;

constexpr milliseconds kReadyWithin{15'000};
constexpr milliseconds kPoll{50};

/** How much longer than its deadline a client waits. */
constexpr milliseconds kPatience{2'000};

/** Longer than any watch. */
constexpr milliseconds kStoreAnswerWithin{40'000};

constexpr unsigned kStatusReady = 200;

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

template <typename Message>
std::string BytesOf(const Message& message) {
  std::ostringstream bytes;
  bytes << message;
  return bytes.str();
}

/** Nothing if the connection ends or the time is over before the answer is whole. */
std::optional<platform::soak::Response> ReadAnswer(Socket& socket, milliseconds limit) {
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  parser.body_limit(boost::none);
  std::string rest;
  const auto end = Clock::now() + limit;
  while (!parser.is_done()) {
    const ReadOutcome outcome = socket.Read(rest, kPoll);
    if (outcome == ReadOutcome::kClosed || Clock::now() >= end) {
      return std::nullopt;
    }
    boost::system::error_code error;
    rest.erase(0, parser.put(boost::asio::buffer(rest), error));
    if (error && error != http::error::need_more) {
      return std::nullopt;
    }
  }
  return parser.release();
}

bool IsReady(std::uint16_t port) {
  auto socket = Socket::Connect(port);
  if (!socket || !socket->Write("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) {
    return false;
  }
  const auto answer = ReadAnswer(*socket, milliseconds(500));
  return answer && answer->result_int() == kStatusReady;
}

}  // namespace

Record::Record(const std::string& file) : m_file(file) {}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(m_mutex);
  m_file << Milliseconds() << " " << line << std::endl;
}

std::int64_t Record::Milliseconds() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
}

ClientAnswer SendCall(std::uint16_t port, const ClientCall& call) {
  http::request<http::string_body> request(http::string_to_verb(call.method), call.path, 11);
  request.set(http::field::host, "desk.example");
  request.set(names::kRequestId, call.id);
  request.set(names::kAuthorization, std::string(names::kKeyScheme) + call.key);
  request.set(names::kDeadline, std::to_string(call.deadline.count()));
  request.body() = call.body;
  request.prepare_payload();
  ClientAnswer outcome;
  auto socket = Socket::Connect(port);
  if (!socket || !socket->Write(BytesOf(request))) {
    return outcome;
  }
  if (const auto answer = ReadAnswer(*socket, call.deadline + kPatience)) {
    outcome.status = answer->result_int();
    outcome.is_signed = answer->count(names::kSignature) > 0;
  }
  return outcome;
}

World::World(std::string program, std::string folder, int instances)
    : m_program(std::move(program)),
      m_folder(std::move(folder)),
      m_store_entrance([this](const platform::soak::Request& request, Socket& socket) {
        return Relay(request, socket);
      }) {
  for (int index = 0; index < instances; ++index) {
    Instance& instance = m_instances.emplace_back();
    instance.name = "edge-east-" + std::to_string(index + 1);
    instance.callers_port = testing::FreePort();
    instance.readiness_port = testing::FreePort();
    instance.peer_port = testing::FreePort();
    instance.peer_requests_port = testing::FreePort();
    instance.metrics_port = testing::FreePort();
  }
}

void World::Put(const std::string& key, const json::object& value) {
  m_store.Put(key, json::serialize(value));
}

void World::Remove(const std::string& key) {
  m_store.Remove(key);
}

bool World::Relay(const platform::soak::Request& request, Socket& socket) const {
  auto store = Socket::Connect(m_store.Port());
  if (!store || !store->Write(BytesOf(request))) {
    return false;
  }
  auto answer = ReadAnswer(*store, kStoreAnswerWithin);
  if (!answer) {
    return false;
  }
  answer->erase(names::kStoreEra);
  return socket.Write(BytesOf(*answer));
}

/** As platform/settings_template.json has it, with the bounds of the sheet of kitanda-link. */
void World::WriteSettings(const Instance& instance) const {
  json::array seeds;
  for (const Instance& other : m_instances) {
    seeds.emplace_back(Loopback(other.peer_port));
  }
  const json::object settings = {{"instance", instance.name},
                                 {"failure_domain", "east"},
                                 {"region", "coast"},
                                 {"callers_address", Loopback(instance.callers_port)},
                                 {"readiness_address", Loopback(instance.readiness_port)},
                                 {"peer_address", Loopback(instance.peer_port)},
                                 {"peer_requests_address", Loopback(instance.peer_requests_port)},
                                 {"metrics_address", Loopback(instance.metrics_port)},
                                 {"seeds", std::move(seeds)},
                                 {"store_address", Loopback(m_store_entrance.Port())},
                                 {"cores", 0.25},
                                 {"link_mbps", 1'000.0},
                                 {"stop_grace_seconds", 8},
                                 {"departure_notice_ms", 2'000},
                                 {"change_bound_ms", 2'000},
                                 {"retry_budget_ratio", 0.2},
                                 {"retry_budget_window_seconds", 10},
                                 {"retry_budget_slack", 202},
                                 {"engines_check_fencing", true}};
  std::ofstream(m_folder + "/" + instance.name + ".json") << json::serialize(settings);
}

void World::Launch(Instance& instance) const {
  const std::string file = m_folder + "/" + instance.name;
  // The shell only sends the log to a file; the program takes its place.
  instance.process = std::make_unique<testing::ChildProcess>(
      "/bin/sh",
      std::vector<std::string>{"-c", R"(exec "$0" --forwarding-settings "$1" >>"$2" 2>&1)",
                               m_program, file + ".json", file + ".log"});
}

void World::StartAgain(std::size_t instance) {
  Launch(m_instances[instance]);
}

bool World::Start() {
  for (Instance& instance : m_instances) {
    WriteSettings(instance);
    Launch(instance);
  }
  const auto end = Clock::now() + kReadyWithin;
  for (const Instance& instance : m_instances) {
    while (!IsReady(instance.readiness_port)) {
      if (Clock::now() >= end) {
        return false;
      }
      std::this_thread::sleep_for(kPoll);
    }
  }
  return true;
}

std::uint16_t World::CallersPort(std::size_t instance) const {
  return m_instances[instance].callers_port;
}

pid_t World::ProcessId(std::size_t instance) const {
  return m_instances[instance].process->Id();
}

std::optional<int> World::EndOf(std::size_t instance) {
  return m_instances[instance].process->WaitForEnd(milliseconds(1));
}

void World::Kill(std::size_t instance) {
  m_instances[instance].process->Signal(SIGKILL);
}

}  // namespace zinnia::review
