// Case: clients send requests of the size that the configuration allows, and all machines of the
// system but two are lost. What the survivors hold exceeds the memory of a machine.
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <random>

#include "review/standin/deployment.h"

namespace review {
namespace {

using zinnia::platform::soak::HttpServer;
using zinnia::platform::soak::StoreStandin;

// The sheet of the site kitanda-link.
constexpr double kMemoryMb = 260;
constexpr std::size_t kMaxBodyBytes = 4'194'304;
constexpr int kDeadlineMs = 20'000;
constexpr int kEvents = 57;
struct Zone {
  const char* name;
  int machines;
  int clients;
};
constexpr Zone kZones[] = {{"kariakoo", 4, 33}, {"msasani", 3, 31}, {"ubungo", 2, 28}};
constexpr const char* kModel = "lugha-pool";

// A first token after 300 ms, then an event each 50 ms: a stream lasts some three seconds.
constexpr milliseconds kUntilFirstEvent{300};
constexpr milliseconds kBetweenEvents{50};

constexpr milliseconds kQuiet{8'000};
constexpr milliseconds kTrouble{25'000};
constexpr milliseconds kRestartDelay{1'000};

// The rule counts machines on which processes end by themselves so often, from so many machines on.
constexpr int kEndsOfAMachine = 3;
constexpr int kMachines = 2;

/** 64 KiB each 8 ms: a client sends 4 MiB in half a second. */
constexpr milliseconds kBetweenPieces{8};

/** Which requests have reached a server. */
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
  if (const auto answered = AnswerModelCall(request, socket)) {
    return *answered;
  }
  const std::string id(request["Zinniastage-Attempt-Id"]);
  arrivals.Add(id);
  std::this_thread::sleep_for(kUntilFirstEvent);
  const std::string after(request["Last-Event-Id"]);
  std::string bytes =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Zinniastage-Attempt-Id: " +
      id + "\r\nZinniastage-Response-Signature: s." + name + "." + id +
      "\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int event = after.empty() ? 1 : std::atoi(after.c_str()) + 1; event <= kEvents; ++event) {
    const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    bytes += size + text + "\r\n";
    if (!socket.Write(bytes)) {
      return false;
    }
    bytes.clear();
    std::this_thread::sleep_for(kBetweenEvents);
  }
  return socket.Write("0\r\n\r\n");
}

/** The platform: forwards clients to machines that are ready, watches over memory, and starts
    again what has ended. */
class Platform {
 public:
  Platform(const std::string& folder, std::uint16_t store_port, Record& record) : m_record(record) {
    std::vector<std::uint16_t> peer_ports;
    for (const Zone& zone : kZones) {
      for (int machine = 0; machine < zone.machines; ++machine) {
        peer_ports.push_back(FreePort());
      }
    }
    const std::vector<std::uint16_t> seeds(peer_ports.begin(), peer_ports.begin() + 3);
    std::size_t next = 0;
    for (const Zone& zone : kZones) {
      for (int machine = 0; machine < zone.machines; ++machine) {
        m_machines.push_back(std::make_unique<Machine>());
        m_machines.back()->instance = std::make_unique<Instance>(
            std::string("edge-") + zone.name + "-" + std::to_string(machine + 1), folder,
            store_port, seeds, peer_ports[next++], zone.name);
        m_machines.back()->instance->Start();
      }
    }
  }

  bool WaitUntilReady() {
    for (const auto& machine : m_machines) {
      if (!machine->instance->WaitUntilReady(milliseconds(8'000))) {
        return false;
      }
      machine->in_rotation = true;
    }
    m_watch = std::thread([this] { WatchMemory(); });
    m_probe = std::thread([this] { ProbeReadiness(); });
    return true;
  }

  void Stop() {
    m_stopping = true;
    m_watch.join();
    m_probe.join();
  }

  /** All but the first machines of the first two zones are gone for good. */
  void LoseMachines() {
    bool kept[2] = {false, false};
    for (const auto& machine : m_machines) {
      const int zone = machine->instance->Zone() == kZones[0].name   ? 0
                       : machine->instance->Zone() == kZones[1].name ? 1
                                                                     : -1;
      if (zone >= 0 && !std::exchange(kept[zone], true)) {
        continue;
      }
      const std::lock_guard lock(machine->mutex);
      machine->is_lost = true;
      machine->in_rotation = false;
      machine->instance->Kill();
      m_record.Line(machine->instance->Name() + " is lost");
    }
  }

  /** The port that a client of the zone is forwarded to. */
  std::optional<std::uint16_t> PortFor(const std::string& zone, std::uint64_t hash) {
    std::vector<std::uint16_t> own;
    std::vector<std::uint16_t> all;
    for (const auto& machine : m_machines) {
      if (machine->in_rotation) {
        all.push_back(machine->instance->CallersPort());
        if (machine->instance->Zone() == zone) {
          own.push_back(all.back());
        }
      }
    }
    const auto& ports = own.empty() ? all : own;
    return ports.empty() ? std::nullopt : std::optional(ports[hash % ports.size()]);
  }

  /** The largest memory of a process, and how many machines had three ends over the limit. */
  double PeakMb() const { return m_peak_mb; }
  int Ends() const { return m_ends; }
  int MachinesWithRepeatedEnds() const {
    int count = 0;
    for (const auto& machine : m_machines) {
      count += machine->ends >= kEndsOfAMachine ? 1 : 0;
    }
    return count;
  }

 private:
  struct Machine {
    std::mutex mutex;
    std::unique_ptr<Instance> instance;
    std::atomic<bool> in_rotation = false;
    std::atomic<bool> is_lost = false;
    std::atomic<int> ends = 0;
    std::optional<Clock::time_point> start_at;
    int misses = 0;
  };

  /** "A process that exceeds memory_mb is killed", and "is restarted after a short delay". */
  void WatchMemory() {
    while (!m_stopping) {
      for (const auto& machine : m_machines) {
        const std::lock_guard lock(machine->mutex);
        if (machine->is_lost) {
          continue;
        }
        if (machine->start_at) {
          if (Clock::now() >= *machine->start_at) {
            machine->start_at.reset();
            machine->instance->Start();
          }
          continue;
        }
        const double memory = machine->instance->MemoryMb();
        m_peak_mb = std::max(m_peak_mb.load(), memory);
        const bool has_ended = machine->instance->HasEnded();
        if (has_ended || memory > kMemoryMb) {
          machine->instance->Kill();
          m_record.Line(machine->instance->Name() + (has_ended ? " has ended" : " is killed: ") +
                        (has_ended ? "" : std::to_string(static_cast<int>(memory)) + " MB"));
          ++machine->ends;
          ++m_ends;
          machine->start_at = Clock::now() + kRestartDelay;
        }
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  /** Once a second; two misses take a machine out of rotation. */
  void ProbeReadiness() {
    while (!m_stopping) {
      for (const auto& machine : m_machines) {
        if (machine->is_lost) {
          continue;
        }
        machine->misses = machine->instance->IsReady() ? 0 : machine->misses + 1;
        if (machine->misses == 0 || machine->misses >= 2) {
          machine->in_rotation = machine->misses == 0;
        }
      }
      std::this_thread::sleep_for(milliseconds(1'000));
    }
  }

  Record& m_record;
  std::vector<std::unique_ptr<Machine>> m_machines;
  std::atomic<bool> m_stopping = false;
  std::atomic<double> m_peak_mb = 0;
  std::atomic<int> m_ends = 0;
  std::thread m_watch;
  std::thread m_probe;
};

struct Tally {
  std::atomic<int> whole = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> failed = 0;
  std::atomic<int> broken_off = 0;  // The answer had begun.
  std::atomic<int> lost = 0;        // Passed on from a kept connection, and not answered at all.
  std::atomic<int> not_passed_on = 0;
};

int Run(const std::string& folder, const std::string& scratch, bool has_trouble) {
  Record record(folder + "/record.txt");
  StoreStandin store;
  Arrivals arrivals;
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (const Zone& zone : kZones) {
    const std::string name = "i-" + NewId();
    servers.push_back(
        std::make_unique<HttpServer>([&arrivals, name](const Request& request, Socket& socket) {
          return Serve(request, socket, name, arrivals);
        }));
    store.Put("servers/" + name, ModelServerEntry(kModel, servers.back()->Port(), zone.name));
  }
  store.Put("op/config", ConfigurationWithModel(1, {{"bed-query", "streaming", kModel, true}},
                                                {kModel}, kModel));
  Platform platform(scratch, store.Port(), record);
  if (!platform.WaitUntilReady()) {
    record.Line("the processes did not become ready");
    return kExitCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(2'000));
  const std::string body(kMaxBodyBytes, 'b');
  Tally tally;
  std::atomic<bool> stop = false;
  std::vector<std::thread> clients;
  for (const Zone& zone : kZones) {
    for (int number = 0; number < zone.clients; ++number) {
      clients.emplace_back([&, zone, seed = clients.size()] {
        std::mt19937 random(static_cast<unsigned>(seed));
        std::this_thread::sleep_for(milliseconds(random() % 3'000));
        std::unique_ptr<Client> client;
        bool is_kept = false;
        while (!stop) {
          if (!client || !client->IsConnected()) {
            is_kept = false;
            const auto port = platform.PortFor(zone.name, random());
            client = port ? std::make_unique<Client>(*port) : nullptr;
            if (!client || !client->Connect()) {
              client.reset();
              std::this_thread::sleep_for(milliseconds(200));
              continue;
            }
          }
          const std::string id = NewId();
          const Outcome outcome = client->Call(
              RequestBytes(
                  "POST", "/bed-query/2f", id, kDeadlineMs, body,
                  "Zinniastage-Model-Id: daka510000\r\nZinniastage-Token-Usage: 800,171\r\n"
                  "Zinniastage-Prefix-Hash: 5c1e07a2:40," +
                      id.substr(0, 8) + ":760\r\n"),
              milliseconds(kDeadlineMs), kBetweenPieces);
          const bool was_passed_on = arrivals.Has(id);
          std::string what = "whole";
          if (outcome.is_whole && outcome.status == 200) {
            ++tally.whole;
          } else if (outcome.status == 429 || outcome.status == 503) {
            ++tally.refused;
            what = "refused";
          } else if (outcome.status == 200) {
            ++tally.broken_off;
            what = "broken off after its answer had begun";
          } else if (outcome.status != 0 || outcome.timed_out) {
            ++tally.failed;
            what = outcome.timed_out ? "no answer before its deadline" : "failed";
          } else if (was_passed_on && is_kept) {
            ++tally.lost;
            what = "LOST: passed on from a kept connection, which was closed without an answer";
          } else {
            ++tally.not_passed_on;
            what = "connection closed without an answer";
          }
          record.Line(fmt::format("{} {} status {} {}: {}", id, zone.name, outcome.status,
                                  was_passed_on ? "run" : "not run", what));
          is_kept = true;
          std::this_thread::sleep_for(milliseconds(random() % 300));
        }
      });
    }
  }
  std::this_thread::sleep_for(kQuiet);
  if (has_trouble) {
    platform.LoseMachines();
  }
  std::this_thread::sleep_for(kTrouble);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  platform.Stop();
  const std::string summary =
      "whole " + std::to_string(tally.whole) + ", refused " + std::to_string(tally.refused) +
      ", failed " + std::to_string(tally.failed) + ", broken off " +
      std::to_string(tally.broken_off) + ", LOST " + std::to_string(tally.lost) +
      ", closed before they were passed on " + std::to_string(tally.not_passed_on) +
      "; ends over the memory limit " + std::to_string(platform.Ends()) +
      ", machines with three or more of them " +
      std::to_string(platform.MachinesWithRepeatedEnds()) + "; peak " +
      std::to_string(static_cast<int>(platform.PeakMb())) + " MB";
  record.Line(summary);
  std::printf("%s\n", summary.c_str());
  if (tally.whole == 0) {
    return kExitCouldNotRun;
  }
  return platform.MachinesWithRepeatedEnds() >= kMachines ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    return review::kExitCouldNotRun;
  }
  try {
    return review::Run(argv[1], argv[2], std::atoi(argv[3]) != 0);
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "%s\n", exception.what());
    return review::kExitCouldNotRun;
  }
}
