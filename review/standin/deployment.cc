#include "review/standin/deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstring>
#include <fstream>
#include <random>
#include <stdexcept>

namespace review {
namespace {

namespace json = boost::json;

constexpr const char* kProgram = "target/packages/zinnia_apps/zinniad";

sockaddr_in AddressOf(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

}  // namespace

Record::Record(const std::string& file) : m_file(std::fopen(file.c_str(), "w")) {
  if (m_file == nullptr) {
    throw std::runtime_error("cannot write " + file);
  }
}

Record::~Record() {
  std::fclose(m_file);
}

void Record::Line(const std::string& text) {
  const auto passed = std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
  const std::lock_guard lock(m_mutex);
  std::fprintf(m_file, "%7lld ms  %s\n", static_cast<long long>(passed), text.c_str());
  std::fflush(m_file);
}

std::uint16_t FreePort() {
  static std::mutex mutex;
  static std::mt19937 random{std::random_device{}()};
  static std::set<std::uint16_t> given;
  const std::lock_guard lock(mutex);
  while (true) {
    // Below the range that the kernel gives to outgoing connections.
    const auto port = static_cast<std::uint16_t>(12'000 + random() % 18'000);
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = AddressOf(port);
    const bool is_free =
        bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    close(probe);
    if (is_free && given.insert(port).second) {
      return port;
    }
  }
}

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string Configuration(std::uint64_t version,
                          const std::vector<Route>& routes,
                          const std::vector<std::string>& services) {
  json::array route_list;
  for (const Route& route : routes) {
    route_list.push_back(json::object{{"name", route.name},
                                      {"hostname", kHost},
                                      {"path_prefix", "/" + route.name + "/"},
                                      {"type", route.type},
                                      {"timeout_ms", route.timeout_ms},
                                      {"target_latency_ms", 500},
                                      {"target_gap_ms", 200},
                                      {"priority", 1},
                                      {"service", route.service},
                                      {"max_attempts", route.max_attempts},
                                      {"public", false},
                                      {"sticky", false},
                                      {"resumable", route.resumable}});
  }
  json::array service_list;
  for (const std::string& service : services) {
    service_list.push_back(json::object{{"name", service},
                                        {"health_path", "/healthz"},
                                        {"max_connections", 1'138},
                                        {"protocol", "h1"},
                                        {"tls", false}});
  }
  return json::serialize(json::object{
      {"version", version},
      {"routes", route_list},
      {"services", service_list},
      {"tenants", json::array{json::object{{"name", "hule930"}, {"api_keys", json::array{kKey}}}}},
      {"limits", json::object{{"max_header_bytes", 16'384},
                              {"max_body_bytes", 4'194'304},
                              {"header_timeout_ms", 5'000},
                              {"idle_timeout_ms", 30'000}}}});
}

std::string ConfigurationWithModel(std::uint64_t version,
                                   const std::vector<Route>& routes,
                                   const std::vector<std::string>& services,
                                   const std::string& model_service) {
  json::value configuration = json::parse(Configuration(version, routes, services));
  for (json::value& service : configuration.at("services").as_array()) {
    if (service.at("name").as_string() == model_service) {
      service.as_object()["runtime"] = json::object{
          {"max_batch_size", 192},
          {"kv_capacity", 100'000},
          {"kv_bytes", 918'000},
          {"link_mbps", 400'000.0},
          {"steps_per_pass", 3},
          {"step_ms", 1.02},
          {"read_per_s", 105'000},
          {"layers", 80},
          {"layer_mb", 500},
          {"usual", json::object{{"prompt", 800}, {"answer", 180}}},
          {"types",
           json::array{json::object{
               {"name", "a100"}, {"megabytes", 72'000}, {"pace", 2.4}, {"read_factor", 3.2}}}}};
    }
  }
  return json::serialize(configuration);
}

std::string ServerEntry(const std::string& service, std::uint16_t port, int slots, bool draining) {
  return json::serialize(json::object{{"service", service},
                                      {"address", Loopback(port)},
                                      {"zone", "kariakoo"},
                                      {"version", "v1"},
                                      {"max_batch_size", slots},
                                      {"phase", draining ? "draining" : "ready"},
                                      {"cold_remaining_ms", 0},
                                      {"sequence", 1}});
}

std::string ModelServerEntry(const std::string& service,
                             std::uint16_t port,
                             const std::string& zone) {
  json::value entry = json::parse(ServerEntry(service, port, 192, false));
  entry.as_object()["zone"] = zone;
  entry.as_object()["type"] = "a100";
  entry.as_object()["layers"] =
      json::array{json::object{{"source", 0}, {"to", 80}, {"version", 1}}};
  return json::serialize(entry);
}

std::optional<bool> AnswerModelCall(const Request& request, Socket& socket) {
  if (!std::string(request["Zinniastage-Attempt-Id"]).empty()) {
    return std::nullopt;
  }
  const std::string report =
      R"({"phase_kind":"colocated","models":[],"busy":false,"sequence":1,"queued":0,"active":1,)"
      R"("kv_in_use":0,"kv_cache_size":5000000,"prefix_hashes":0,"pace":1.0,)"
      R"("layers":[{"source":0,"to":80,"version":1}],"stalled_servers":[]})";
  return socket.Write(zinnia::platform::soak::ToBytes(zinnia::platform::soak::MakeResponse(
      200, request.target().starts_with("/-/report") ? report : std::string("{}"))));
}

Instance::Instance(std::string name,
                   std::string folder,
                   std::uint16_t store_port,
                   std::vector<std::uint16_t> seeds,
                   std::uint16_t peer_port,
                   std::string zone)
    : m_name(std::move(name)),
      m_folder(std::move(folder)),
      m_store_port(store_port),
      m_seeds(std::move(seeds)),
      m_peer_port(peer_port),
      m_zone(std::move(zone)) {
  WriteSettings();
}

Instance::~Instance() {
  Kill();
}

/** platform/settings_template.json, filled with the bounds of the site kitanda-link. */
void Instance::WriteSettings() const {
  json::array seeds;
  for (const std::uint16_t seed : m_seeds) {
    seeds.emplace_back(Loopback(seed));
  }
  const json::object settings = {{"instance", m_name},
                                 {"failure_domain", m_zone},
                                 {"region", "dar-pwani"},
                                 {"callers_address", Loopback(m_callers_port)},
                                 {"readiness_address", Loopback(m_readiness_port)},
                                 {"peer_address", Loopback(m_peer_port)},
                                 {"peer_requests_address", Loopback(m_requests_port)},
                                 {"metrics_address", Loopback(m_metrics_port)},
                                 {"seeds", seeds},
                                 {"store_address", Loopback(m_store_port)},
                                 {"cores", 0.25},
                                 {"link_mbps", 1'000.0},
                                 {"stop_grace_seconds", 8},
                                 {"departure_notice_ms", 2'000},
                                 {"change_bound_ms", 2'000},
                                 {"retry_budget_ratio", 0.2},
                                 {"retry_budget_window_seconds", 10},
                                 {"retry_budget_slack", 202},
                                 {"engines_check_fencing", true}};
  std::ofstream(m_folder + "/" + m_name + ".json") << json::serialize(settings);
}

void Instance::Start() {
  const std::string settings = m_folder + "/" + m_name + ".json";
  const std::string log = m_folder + "/" + m_name + ".log";
  const pid_t parent = getpid();
  const pid_t process = fork();
  if (process < 0) {
    throw std::runtime_error("cannot start a process");
  }
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // Nothing stays behind if this program dies.
    if (getppid() != parent) {
      _exit(127);
    }
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(kProgram, kProgram, "--forwarding-settings", settings.c_str(), nullptr);
    _exit(127);
  }
  m_process = process;
}

void Instance::Signal(int signal) const {
  if (m_process > 0) {
    kill(m_process, signal);
  }
}

void Instance::Kill() {
  if (m_process > 0) {
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
    m_process = -1;
  }
}

bool Instance::HasEnded() {
  if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
    m_process = -1;
  }
  return m_process < 0;
}

double Instance::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

bool Instance::IsReady() const {
  Client client(m_readiness_port);
  return client.Connect() && client.Call(
                                       "GET /-/readyz HTTP/1.1\r\nHost: platform\r\n"
                                       "Connection: close\r\n\r\n",
                                       milliseconds(500))
                                     .status == 200;
}

bool Instance::WaitUntilReady(milliseconds limit) const {
  const auto end = Clock::now() + limit;
  while (Clock::now() < end) {
    if (IsReady()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

bool Client::Connect() {
  Close();
  m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(m_port);
  if (connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    Close();
    return false;
  }
  const int on = 1;
  setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

void Client::Close() {
  if (m_socket >= 0) {
    close(m_socket);
    m_socket = -1;
  }
}

namespace {

/** The number that follows a header field's name, or nothing. */
std::optional<std::size_t> LengthIn(const std::string& head) {
  const char* field = strcasestr(head.c_str(), "\r\ncontent-length:");
  if (field == nullptr) {
    return std::nullopt;
  }
  return std::strtoul(field + std::strlen("\r\ncontent-length:"), nullptr, 10);
}

}  // namespace

Outcome Client::Call(const std::string& bytes,
                     milliseconds limit,
                     milliseconds pause_between_pieces) {
  constexpr std::size_t kPiece = 65'536;
  Outcome outcome;
  outcome.connected = IsConnected();
  const auto end = Clock::now() + limit;
  const auto wait_for = [&](short events) {
    pollfd state{m_socket, events, 0};
    const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
    return left > 0 && poll(&state, 1, static_cast<int>(left)) > 0;
  };
  const auto give_up = [&](bool timed_out) {
    outcome.timed_out = timed_out;
    Close();
    return outcome;
  };
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    if (!wait_for(POLLOUT)) {
      return give_up(true);
    }
    const std::size_t piece = std::min(kPiece, bytes.size() - sent);
    const ssize_t count = send(m_socket, bytes.data() + sent, piece, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno != EAGAIN) {
      return give_up(false);
    }
    sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    if (sent < bytes.size() && pause_between_pieces.count() > 0) {
      std::this_thread::sleep_for(pause_between_pieces);
    }
  }
  outcome.sent = true;
  std::string answer;
  std::size_t head_end = std::string::npos;
  std::vector<char> buffer(kPiece);
  while (true) {
    if (head_end == std::string::npos) {
      head_end = answer.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        outcome.status = std::atoi(answer.c_str() + std::strlen("HTTP/1.1 "));
        outcome.head = answer.substr(0, head_end + 2);
      }
    }
    if (head_end != std::string::npos) {
      const std::size_t body = answer.size() - head_end - 4;
      const auto length = LengthIn(outcome.head);
      outcome.body = answer.substr(head_end + 4);
      outcome.is_whole = length ? body >= *length : answer.ends_with("\r\n0\r\n\r\n");
      if (outcome.is_whole) {
        break;
      }
    }
    if (!wait_for(POLLIN)) {
      return give_up(true);
    }
    const ssize_t count = recv(m_socket, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return give_up(false);
    }
    answer.append(buffer.data(), static_cast<std::size_t>(count));
  }
  if (strcasestr(outcome.head.c_str(), "\r\nconnection: close") != nullptr) {
    Close();
  }
  return outcome;
}

std::string RequestBytes(const std::string& method,
                         const std::string& path,
                         const std::string& id,
                         int deadline_ms,
                         const std::string& body,
                         const std::string& more_headers) {
  std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: " + std::string(kHost) +
                      "\r\nZinniastage-Attempt-Id: " + id +
                      "\r\nZinniastage-Deadline-Ms: " + std::to_string(deadline_ms) +
                      "\r\nAuthorization: Token " + std::string(kKey) + "\r\n" + more_headers;
  if (!body.empty()) {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return bytes + "\r\n" + body;
}

std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

}  // namespace review
