// Case: a request that crashes each server that begins to run it comes again, two copies at once.
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include "review/standin/deployment.h"

namespace review {
namespace {

using zinnia::platform::soak::HttpServer;
using zinnia::platform::soak::StoreStandin;

constexpr const char* kModel = "lugha-pool";
constexpr int kDeadlineMs = 20'000;
constexpr int kServers = 33;
constexpr int kInstances = 9;
constexpr int kWaves = 5;
constexpr int kCopies = 2;
constexpr milliseconds kBetweenWaves{4'000};

constexpr const char* kHarmfulBody = "the same body";

/** A sound client at each instance sends another request so long after its last answer. */
constexpr milliseconds kBetweenSound{200};

/** A request begins to run with its first token. */
constexpr milliseconds kUntilFirstToken{60};
constexpr milliseconds kServerIsBackAfter{2'500};

/** stability_window_ms, and what the rule allows. */
constexpr milliseconds kStabilityWindow{3'000};
constexpr std::size_t kCrashesThatCount = 3;
constexpr int kMostRetries = 3;

/** A backend server, as a process of its own: it crashes as a process does. */
class ServerProcess {
 public:
  ServerProcess(const char* self, StoreStandin& store, bool is_harmed, std::string zone)
      : m_self(self), m_store(store), m_is_harmed(is_harmed), m_zone(std::move(zone)) {
    Start();
  }

  ~ServerProcess() {
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
  }

  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;

  /** The lines that it has written since the last call: what arrived, and when. */
  std::string TakeLines() {
    char text[4'096];
    const ssize_t count = read(m_output, text, sizeof(text));
    return {text, count > 0 ? static_cast<std::size_t>(count) : 0};
  }

  /** Notices its end, and starts it again under a new id when it is time. */
  void Tick() {
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
      m_process = -1;
      m_ended_at = Clock::now();
    }
    if (m_process < 0 && Clock::now() - m_ended_at >= kServerIsBackAfter) {
      m_store.Remove("servers/" + m_id);
      Start();
    }
  }

 private:
  void Start() {
    m_id = "i-" + NewId();
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_NONBLOCK) != 0) {
      throw std::runtime_error("no pipe");
    }
    const std::string port = std::to_string(m_port);
    const pid_t parent = getpid();
    m_process = fork();
    if (m_process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(127);
      }
      dup2(ends[1], STDOUT_FILENO);
      execl(m_self, m_self, "--server", port.c_str(), m_id.c_str(), m_is_harmed ? "1" : "0",
            nullptr);
      _exit(127);
    }
    close(ends[1]);
    if (m_output >= 0) {
      close(m_output);
    }
    m_output = ends[0];
    fcntl(m_output, F_SETFD, FD_CLOEXEC);
    m_store.Put("servers/" + m_id, ModelServerEntry(kModel, m_port, m_zone));
  }

  const char* m_self;
  StoreStandin& m_store;
  const bool m_is_harmed;
  const std::string m_zone;
  const std::uint16_t m_port = FreePort();
  std::string m_id;
  pid_t m_process = -1;
  int m_output = -1;
  Clock::time_point m_ended_at;
};

long long Milliseconds() {
  return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}

bool AnswerWell(const std::string& id, const std::string& name, Socket& socket) {
  const std::string event = "id: 1\ndata: token\n\n";
  return socket.Write(
      fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                  "Zinniastage-Attempt-Id: {}\r\nZinniastage-Response-Signature: s.{}.{}\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                  id, name, id, event.size(), event));
}

bool Serve(const Request& request, Socket& socket, const std::string& name, bool is_harmed) {
  if (const auto answered = AnswerModelCall(request, socket)) {
    return *answered;
  }
  const std::string id(request["Zinniastage-Attempt-Id"]);
  if (request.body() != kHarmfulBody) {
    std::this_thread::sleep_for(kUntilFirstToken);
    return AnswerWell(id, name, socket);
  }
  std::printf("arrival %s %lld\n", id.c_str(), Milliseconds());
  std::fflush(stdout);
  std::this_thread::sleep_for(kUntilFirstToken);
  if (is_harmed) {
    std::printf("crash %s %lld\n", id.c_str(), Milliseconds());
    std::fflush(stdout);
    _exit(1);
  }
  return AnswerWell(id, name, socket);
}

int RunServer(std::uint16_t port, const std::string& name, bool is_harmed) {
  const HttpServer server([&](const Request& request,
                              Socket& socket) { return Serve(request, socket, name, is_harmed); },
                          port);
  while (true) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

/** Sends one stream; all share the first part of their prompts, and the last is the request's own.
 */
Outcome Send(Client& client, const std::string& body) {
  const std::string own_part = body == kHarmfulBody ? "91bd3f06" : body.substr(0, 8);
  return client.Call(
      RequestBytes("POST", "/bed-query/2f", NewId(), kDeadlineMs, body,
                   "Zinniastage-Model-Id: daka510000\r\nZinniastage-Token-Usage: 800,171\r\n"
                   "Zinniastage-Prefix-Hash: 5c1e07a2:40," +
                       own_part + ":760\r\n"),
      milliseconds(2'000));
}

int RunCase(const char* self, const std::string& folder, const std::string& scratch, bool harmed) {
  Record record(folder + "/record.txt");
  constexpr const char* kZones[] = {"kariakoo", "msasani", "ubungo"};
  StoreStandin store;
  std::vector<std::unique_ptr<ServerProcess>> servers;
  servers.reserve(kServers);
  for (int number = 0; number < kServers; ++number) {
    servers.push_back(std::make_unique<ServerProcess>(self, store, harmed, kZones[number % 3]));
  }
  store.Put("op/config", ConfigurationWithModel(1, {{"bed-query", "streaming", kModel, true}},
                                                {kModel}, kModel));
  std::vector<std::uint16_t> peers;
  peers.reserve(kInstances);
  for (int number = 0; number < kInstances; ++number) {
    peers.push_back(FreePort());
  }
  const std::vector<std::uint16_t> seeds(peers.begin(), peers.begin() + 3);
  std::vector<std::unique_ptr<Instance>> instances;
  for (int number = 0; number < kInstances; ++number) {
    instances.push_back(
        std::make_unique<Instance>(fmt::format("edge-{}", number + 1), scratch, store.Port(), seeds,
                                   peers[static_cast<std::size_t>(number)], kZones[number % 3]));
    instances.back()->Start();
  }
  for (const auto& instance : instances) {
    if (!instance->WaitUntilReady(milliseconds(8'000))) {
      record.Line("the processes did not become ready");
      return kExitCouldNotRun;
    }
  }
  std::vector<long long> arrivals;
  std::vector<long long> crashes;
  const auto collect = [&] {
    for (const auto& server : servers) {
      std::istringstream lines(server->TakeLines());
      std::string what;
      std::string id;
      long long at = 0;
      while (lines >> what >> id >> at) {
        (what == "arrival" ? arrivals : crashes).push_back(at);
        record.Line(fmt::format("server: {} of {} at {}", what, id, at));
      }
      server->Tick();
    }
  };
  const auto wait = [&](milliseconds time) {
    for (const auto end = Clock::now() + time; Clock::now() < end;) {
      collect();
      std::this_thread::sleep_for(milliseconds(5));
    }
  };
  wait(milliseconds(5'000));
  std::atomic<int> answered = 0;
  std::atomic<int> sound = 0;
  std::atomic<int> sound_answered = 0;
  std::atomic<bool> stop = false;
  std::vector<std::thread> sound_clients;
  sound_clients.reserve(kInstances);
  for (const auto& instance : instances) {
    sound_clients.emplace_back([&, port = instance->CallersPort()] {
      Client client(port);
      while (!stop) {
        if (client.IsConnected() || client.Connect()) {
          ++sound;
          sound_answered += Send(client, NewId()).status == 200 ? 1 : 0;
        }
        std::this_thread::sleep_for(kBetweenSound);
      }
    });
  }
  wait(milliseconds(2'000));
  for (int wave = 0; wave < kWaves; ++wave) {
    std::vector<std::thread> clients;
    for (int copy = 0; copy < kCopies; ++copy) {
      const std::uint16_t port = instances[(wave * kCopies + copy) % kInstances]->CallersPort();
      clients.emplace_back([&, port] {
        Client client(port);
        client.Connect();
        const Outcome outcome = Send(client, kHarmfulBody);
        answered += outcome.status == 200 ? 1 : 0;
        record.Line(fmt::format("client: status {} for the harmful request", outcome.status));
      });
    }
    wait(kBetweenWaves);
    for (std::thread& client : clients) {
      client.join();
    }
  }
  stop = true;
  for (std::thread& client : sound_clients) {
    client.join();
  }
  std::sort(crashes.begin(), crashes.end());
  int late = 0;
  if (crashes.size() >= kCrashesThatCount) {
    const long long from = crashes[kCrashesThatCount - 1] + kStabilityWindow.count();
    late = static_cast<int>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](long long at) { return at > from; }));
  }
  const std::string summary = fmt::format(
      "copies sent {}, answered with 200 {}, arrivals at servers {}, servers crashed {}, arrivals "
      "later than {} ms after the third crash {} ({} allowed); sound requests {}, answered {}",
      kWaves * kCopies, answered.load(), arrivals.size(), crashes.size(), kStabilityWindow.count(),
      late, kMostRetries, sound.load(), sound_answered.load());
  record.Line(summary);
  std::printf("%s\n", summary.c_str());
  if (arrivals.empty()) {
    return kExitCouldNotRun;
  }
  return late > kMostRetries ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc == 5 && std::string(argv[1]) == "--server") {
    return review::RunServer(static_cast<std::uint16_t>(std::atoi(argv[2])), argv[3],
                             std::atoi(argv[4]) != 0);
  }
  if (argc != 4) {
    return review::kExitCouldNotRun;
  }
  try {
    return review::RunCase(argv[0], argv[1], argv[2], std::atoi(argv[3]) != 0);
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "%s\n", exception.what());
    return review::kExitCouldNotRun;
  }
}
