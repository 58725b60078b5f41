// Case: a client with a key sends a request whose method is TRACE, with a body.
#include <csignal>
#include <cstdlib>
#include <random>

#include "review/standin/deployment.h"

namespace review {
namespace {

using zinnia::platform::soak::HttpServer;
using zinnia::platform::soak::MakeResponse;
using zinnia::platform::soak::StoreStandin;
using zinnia::platform::soak::ToBytes;

constexpr const char* kService = "booking-core";
constexpr int kDeadlineMs = 1'500;
constexpr int kClients = 33;  // Of the zone kariakoo.
constexpr int kInstances = 4;
constexpr int kTroubles = 3;
constexpr int kMostLost = 3;  // "more than three times"
constexpr milliseconds kRestartDelay{500};

class Arrivals {
 public:
  void Add(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    m_ids.insert(id);
  }
  bool Has(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    return m_ids.contains(id);
  }

 private:
  std::mutex m_mutex;
  std::set<std::string> m_ids;
};

bool Serve(const Request& request, Socket& socket, const std::string& name, Arrivals& arrivals) {
  const std::string id(request["Zinniastage-Attempt-Id"]);
  if (id.empty()) {
    return socket.Write(ToBytes(MakeResponse(200, "{}")));
  }
  arrivals.Add(id);
  std::this_thread::sleep_for(milliseconds(30));
  auto response = MakeResponse(200, std::string(800, 'x'));
  response.set("Zinniastage-Attempt-Id", id);
  response.set("Zinniastage-Response-Signature", "s." + name + "." + id);
  return socket.Write(ToBytes(response));
}

struct Tally {
  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::atomic<int> other = 0;
};

/** Sends bed-hold requests, one after the other, on connections that it keeps. */
void RunClient(std::uint16_t port,
               unsigned seed,
               const std::atomic<bool>& stop,
               Arrivals& arrivals,
               Tally& tally,
               Record& record) {
  std::mt19937 random(seed);
  Client client(port);
  bool is_kept = false;
  while (!stop) {
    if (!client.IsConnected()) {
      is_kept = false;
      if (!client.Connect()) {
        std::this_thread::sleep_for(milliseconds(100));
        continue;
      }
    }
    const std::string id = NewId();
    const Outcome outcome =
        client.Call(RequestBytes("POST", "/bed-hold/2f", id, kDeadlineMs, std::string(600, 'b')),
                    milliseconds(kDeadlineMs));
    if (outcome.is_whole) {
      ++tally.answered;
    } else if (outcome.status == 0 && !outcome.timed_out && is_kept && arrivals.Has(id)) {
      ++tally.lost;
      record.Line("LOST " + id + ": passed on from a kept connection, closed without an answer");
    } else {
      ++tally.other;
      record.Line("connection closed during " + id);
    }
    is_kept = true;
    std::this_thread::sleep_for(milliseconds(random() % 20));
  }
}

int RunCase(const std::string& folder, const std::string& scratch, bool has_trouble) {
  Record record(folder + "/record.txt");
  Arrivals arrivals;
  StoreStandin store;
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (int number = 0; number < 3; ++number) {
    const std::string name = "i-" + NewId();
    servers.push_back(
        std::make_unique<HttpServer>([&arrivals, name](const Request& request, Socket& socket) {
          return Serve(request, socket, name, arrivals);
        }));
    store.Put("servers/" + name, ServerEntry(kService, servers.back()->Port(), 6, false));
  }
  store.Put("op/config", Configuration(1,
                                       {{"bed-hold", "non_idempotent", kService, false, 1'500, 1},
                                        {"desk-lookup", "idempotent", kService, false, 1'500, 2}},
                                       {kService}));
  std::vector<std::uint16_t> peers;
  peers.reserve(kInstances);
  for (int number = 0; number < kInstances; ++number) {
    peers.push_back(FreePort());
  }
  const std::vector<std::uint16_t> seeds(peers.begin(), peers.begin() + 3);
  std::vector<std::unique_ptr<Instance>> instances;
  for (int number = 0; number < kInstances; ++number) {
    instances.push_back(std::make_unique<Instance>("edge-kariakoo-" + std::to_string(number + 1),
                                                   scratch, store.Port(), seeds,
                                                   peers[static_cast<std::size_t>(number)]));
    instances.back()->Start();
  }
  for (const auto& instance : instances) {
    if (!instance->WaitUntilReady(milliseconds(8'000))) {
      record.Line("the processes did not become ready");
      return kExitCouldNotRun;
    }
  }
  Tally tally;
  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (unsigned number = 0; number < kClients; ++number) {
    const std::uint16_t port = instances[number % kInstances]->CallersPort();
    clients.emplace_back(
        [&, port, number] { RunClient(port, number, stop, arrivals, tally, record); });
  }
  int ends = 0;
  std::this_thread::sleep_for(milliseconds(4'000));  // In touch, and connections are kept.
  for (int trouble = 0; trouble < kTroubles; ++trouble) {
    for (const auto& instance : instances) {
      const std::string method = has_trouble ? "TRACE" : "GET";
      const std::string id = NewId();
      Client client(instance->CallersPort());
      client.Connect();
      const Outcome outcome =
          client.Call(RequestBytes(method, "/desk-lookup/2f", id, kDeadlineMs, "abc"),
                      milliseconds(kDeadlineMs));
      std::this_thread::sleep_for(milliseconds(50));
      const bool has_ended = instance->HasEnded();
      record.Line("client sent " + method + " /desk-lookup/2f with 3 bytes to " + instance->Name() +
                  ", status " + std::to_string(outcome.status) +
                  (has_ended ? "; the process has ended by itself" : ""));
      if (has_ended) {
        ++ends;
        std::this_thread::sleep_for(kRestartDelay);
        instance->Start();
      }
    }
    std::this_thread::sleep_for(milliseconds(4'000));
  }
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::string summary = "answered " + std::to_string(tally.answered) + ", LOST " +
                              std::to_string(tally.lost) + ", other connections closed " +
                              std::to_string(tally.other) +
                              "; processes that ended by themselves " + std::to_string(ends) +
                              " times on " + std::to_string(kInstances) + " machines";
  record.Line(summary);
  std::printf("%s\n", summary.c_str());
  if (tally.answered == 0) {
    return kExitCouldNotRun;
  }
  return tally.lost > kMostLost ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    return review::kExitCouldNotRun;
  }
  try {
    return review::RunCase(argv[1], argv[2], std::atoi(argv[3]) != 0);
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "%s\n", exception.what());
    return review::kExitCouldNotRun;
  }
}
