// Plays a request that crashes each worker that begins to run it, at a pool whose workers answer
// some requests with a 500 of their own, and counts how often it still reaches workers.

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <thread>

#include "review/standin-2/worker_standin.h"
#include "review/standin-2/world.h"

namespace zinnia::review {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr int kInstances = 3;
constexpr int kServers = 7;
constexpr const char* kKey = "key-of-the-hostel";

/** The share of desk-lookup requests that a worker answers with a 500 of its own, disruption or
    not: error_share in the site file. */
constexpr double kErrorShare = 0.14;

/** The bound of the rule. */
constexpr milliseconds kStabilityWindow{3'000};
constexpr int kMostRetries = 3;
constexpr int kCrashesBefore = 3;

/** One harmful request after the other, each sent again for so long at most. */
constexpr milliseconds kPlayed{14'000};
constexpr milliseconds kLastBegins{80'000};
constexpr milliseconds kBetweenHarmful{700};
constexpr milliseconds kBetweenOthers{40};

/** A harmful request that has been refused so often in a row is over. */
constexpr int kRefusalsToEnd = 4;
constexpr unsigned kStatusRefused = 503;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

json::object Configuration() {
  return {{"version", 3},
          {"routes", json::array{json::object{{"name", "desk-lookup"},
                                              {"hostname", "desk.example"},
                                              {"path_prefix", "/lookup/"},
                                              {"type", "idempotent"},
                                              {"service", "booking"},
                                              {"timeout_ms", 800},
                                              {"target_latency_ms", 150},
                                              {"priority", 2},
                                              {"max_attempts", 2},
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

/** What the harmful request met, in the order of its arrivals at workers. */
class HarmfulLedger {
 public:
  void Add(Meeting meeting) {
    const std::lock_guard lock(m_mutex);
    m_crashes += meeting == Meeting::kCrashed ? 1 : 0;
    if (m_crashes == kCrashesBefore && !m_third_crash_at) {
      m_third_crash_at = Clock::now();
    } else if (m_third_crash_at && Clock::now() > *m_third_crash_at + kStabilityWindow) {
      ++m_late_arrivals;
    }
  }

  int LateArrivals() const { return m_late_arrivals; }
  int Crashes() const { return m_crashes; }

 private:
  mutable std::mutex m_mutex;
  int m_crashes = 0;
  int m_late_arrivals = 0;
  std::optional<Clock::time_point> m_third_crash_at;
};

/** What happens at the workers and what clients get. */
class HarmfulPlay {
 public:
  HarmfulPlay(const std::string& program, const std::string& folder, const std::string& record_file)
      : m_record(record_file), m_world(program, folder, kInstances) {
    for (int number = 0; number < kServers; ++number) {
      m_servers.push_back(std::make_unique<WorkerStandin>(
          m_world, m_record, "i-" + std::to_string(number),
          [this](const std::string& path, Meeting met) { OnArrival(path, met); }));
      m_servers.back()->SetFailingShare(kErrorShare);
    }
    m_world.Put("op/config", Configuration());
  }

  bool Start() {
    const bool is_ready = m_world.Start();
    std::this_thread::sleep_for(kStabilityWindow + milliseconds(1'000));
    return is_ready;
  }

  /** Sends the request until it is refused for good or the time is over. Returns whether it reached
      workers more often than the rule allows. */
  bool PlayRequest(const std::string& path, bool is_harmful) {
    const auto end = Clock::now() + kPlayed;
    int refusals = 0;
    for (int number = 0; Clock::now() < end && refusals < kRefusalsToEnd; ++number) {
      const auto instance = static_cast<std::size_t>(number % kInstances);
      const std::string id = path.substr(path.rfind('/') + 1) + "-" + std::to_string(number);
      const ClientAnswer answer =
          SendCall(m_world.CallersPort(instance), {"GET", path, id, kKey, ""});
      m_record.Write("client: " + id + " answered " + std::to_string(answer.status.value_or(0)));
      refusals = answer.status == kStatusRefused ? refusals + 1 : 0;
      std::this_thread::sleep_for(kBetweenHarmful);
    }
    if (!is_harmful) {
      return false;
    }
    const HarmfulLedger& ledger = m_ledgers[path];
    const std::string result =
        path + ": crashes=" + std::to_string(ledger.Crashes()) +
        ", arrivals at workers later than " + std::to_string(kStabilityWindow.count()) +
        " ms after the third crash=" + std::to_string(ledger.LateArrivals()) +
        ", allowed=" + std::to_string(kMostRetries);
    m_record.Write(result);
    std::cout << result << "\n";
    return ledger.LateArrivals() > kMostRetries;
  }

  /** Other clients, one request after the other. */
  void PlayOthers(const std::atomic<bool>& stopping) {
    std::map<unsigned, int> statuses;
    for (int number = 0; !stopping; ++number) {
      const auto instance = static_cast<std::size_t>(number % kInstances);
      const std::string name = std::to_string(number);
      const ClientAnswer answer = SendCall(m_world.CallersPort(instance),
                                           {"GET", "/lookup/" + name, "other-" + name, kKey, ""});
      ++statuses[answer.status.value_or(0)];
      std::this_thread::sleep_for(kBetweenOthers);
    }
    for (const auto& [status, count] : statuses) {
      m_record.Write("other clients: answered " + std::to_string(status) + ": " +
                     std::to_string(count));
    }
  }

  void End() {
    for (std::size_t instance = 0; instance < m_world.InstanceCount(); ++instance) {
      m_world.Kill(instance);
    }
  }

 private:
  void OnArrival(const std::string& path, Meeting met) {
    if (path.find(kHarmfulMark) == std::string::npos) {
      return;
    }
    m_record.Write("worker: " + path +
                   (met == Meeting::kCrashed ? " crashes it" : " answered 500"));
    const std::lock_guard lock(m_mutex);
    m_ledgers[path].Add(met);
  }

  Record m_record;
  World m_world;
  std::mutex m_mutex;
  std::map<std::string, HarmfulLedger> m_ledgers;
  std::vector<std::unique_ptr<WorkerStandin>> m_servers;
};

int Play(const std::string& program, const std::string& folder, const std::string& record_file) {
  const char* const trouble = std::getenv("TROUBLE");
  const bool is_troubled = trouble == nullptr || std::string(trouble) != "0";
  HarmfulPlay play(program, folder, record_file);
  if (!play.Start()) {
    std::cout << "the instances did not become ready\n";
    return kNotRun;
  }
  std::atomic<bool> stopping = false;
  std::thread others([&] { play.PlayOthers(stopping); });
  bool is_broken = false;
  const auto last_begins = Clock::now() + kLastBegins;
  for (int number = 1; Clock::now() < last_begins && !is_broken; ++number) {
    const std::string name = is_troubled ? kHarmfulMark : "harmless";
    is_broken = play.PlayRequest("/lookup/" + name + std::to_string(number), is_troubled);
  }
  stopping = true;
  others.join();
  play.End();
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace zinnia::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cout << "usage: harmful_case PROGRAM FOLDER RECORD\n";
    return zinnia::review::kNotRun;
  }
  const int result = zinnia::review::Play(argv[1], argv[2], argv[3]);
  std::cout.flush();
  std::_Exit(result);
}
