#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "review/standin-2/worker_standin.h"
#include "review/standin-2/world.h"

namespace zinnia::review {

/** What a script exits with. */
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kNotRun = 2;

/** Of the sheet; the rule counts from so long after the third crash. */
inline constexpr std::chrono::milliseconds kStabilityWindow{3'000};

/** How often a request that crashes workers may reach them after that. */
inline constexpr int kMostRetries = 3;

/** Whether TROUBLE does not leave the disruption out. */
bool IsTroubled();

/** What a harmful request met, in the order of its arrivals at workers. */
class HarmfulLedger {
 public:
  void Add(Meeting meeting);
  int LateArrivals() const { return m_late_arrivals; }
  int Crashes() const { return m_crashes; }

 private:
  int m_crashes = 0;
  int m_late_arrivals = 0;
  std::optional<Clock::time_point> m_third_crash_at;
};

/** How the requests are sent, and what the workers do with them. */
struct HarmfulPlayOptions {
  /** The type of the route /lookup/, and the method of its requests. */
  std::string route_type = "idempotent";
  std::string method = "GET";
  std::chrono::milliseconds route_time{800};
  std::chrono::milliseconds deadline{1'500};

  int servers = 7;

  /** The share of requests that a worker answers with a 500 of its own. */
  double error_share = 0.0;

  /** From one answer to the next request, and until the client gives it up. */
  std::chrono::milliseconds between_requests{700};
  std::chrono::milliseconds played{14'000};
};

/** Three instances, the workers of a plain service, one client that sends a harmful request again
    and again, and one that sends others. */
class HarmfulPlay {
 public:
  HarmfulPlay(const std::string& program,
              const std::string& folder,
              const std::string& record_file,
              HarmfulPlayOptions options);

  /** Returns whether the instances became ready. */
  bool Start();

  /** Sends the request until it is refused for good or the time is over. Returns whether it reached
      workers more often than the rule allows. */
  bool PlayRequest(const std::string& path);

  /** Other clients, one request after the other. */
  void PlayOthers(const std::atomic<bool>& stopping);

  void End();

 private:
  void OnArrival(const std::string& path, Meeting met);

  const HarmfulPlayOptions m_options;
  Record m_record;
  World m_world;
  std::mutex m_mutex;
  std::map<std::string, HarmfulLedger> m_ledgers;
  std::vector<std::unique_ptr<WorkerStandin>> m_servers;
};

}  // namespace zinnia::review
