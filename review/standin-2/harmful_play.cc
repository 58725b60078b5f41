#include "review/standin-2/harmful_play.h"

#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>

namespace zinnia::review {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::size_t kInstances = 3;
constexpr const char* kKey = "key-of-the-hostel";
constexpr int kCrashesBefore = 3;
constexpr milliseconds kBetweenOthers{40};

/** A harmful request that has been refused so often in a row is over. */
constexpr int kRefusalsToEnd = 4;
constexpr unsigned kStatusRefused = 503;

json::object Configuration(const HarmfulPlayOptions& options) {
  const auto route = [](const char* name, const std::string& type, milliseconds time) {
    return json::object{{"name", name},
                        {"hostname", "desk.example"},
                        {"path_prefix", std::string("/") + name + "/"},
                        {"type", type},
                        {"service", "booking"},
                        {"timeout_ms", time.count()},
                        {"target_latency_ms", 150},
                        {"priority", 2},
                        {"max_attempts", 2},
                        {"public", false},
                        {"resumable", type == "streaming"}};
  };
  return {{"version", 3},
          {"routes", json::array{route("lookup", options.route_type, options.route_time),
                                 route("other", "idempotent", milliseconds(800))}},
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

}  // namespace

bool IsTroubled() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void HarmfulLedger::Add(Meeting meeting) {
  m_crashes += meeting == Meeting::kCrashed ? 1 : 0;
  if (m_crashes == kCrashesBefore && !m_third_crash_at) {
    m_third_crash_at = Clock::now();
  } else if (m_third_crash_at && Clock::now() > *m_third_crash_at + kStabilityWindow) {
    ++m_late_arrivals;
  }
}

HarmfulPlay::HarmfulPlay(const std::string& program,
                         const std::string& folder,
                         const std::string& record_file,
                         HarmfulPlayOptions options)
    : m_options(std::move(options)),
      m_record(record_file),
      m_world(program, folder, static_cast<int>(kInstances)) {
  m_servers.reserve(static_cast<std::size_t>(m_options.servers));
  for (int number = 0; number < m_options.servers; ++number) {
    m_servers.push_back(std::make_unique<WorkerStandin>(
        m_world, m_record, "i-" + std::to_string(number),
        [this](const std::string& path, Meeting met) { OnArrival(path, met); }));
    m_servers.back()->SetFailingShare(m_options.error_share);
  }
  m_world.Put("op/config", Configuration(m_options));
}

bool HarmfulPlay::Start() {
  const bool is_ready = m_world.Start();
  std::this_thread::sleep_for(kStabilityWindow + milliseconds(1'000));
  return is_ready;
}

bool HarmfulPlay::PlayRequest(const std::string& path) {
  const auto end = Clock::now() + m_options.played;
  int refusals = 0;
  for (std::size_t number = 0; Clock::now() < end && refusals < kRefusalsToEnd; ++number) {
    const std::string id = path.substr(path.rfind('/') + 1) + "-" + std::to_string(number);
    const ClientAnswer answer =
        SendCall(m_world.CallersPort(number % kInstances),
                 {m_options.method, path, id, kKey, "", m_options.deadline});
    m_record.Write("client: " + id + " answered " + std::to_string(answer.status.value_or(0)));
    refusals = answer.status == kStatusRefused ? refusals + 1 : 0;
    std::this_thread::sleep_for(m_options.between_requests);
  }
  if (path.find(kHarmfulMark) == std::string::npos) {
    return false;
  }
  const std::lock_guard lock(m_mutex);
  const HarmfulLedger& ledger = m_ledgers[path];
  const std::string result = path + ": crashes=" + std::to_string(ledger.Crashes()) +
                             ", arrivals at workers later than " +
                             std::to_string(kStabilityWindow.count()) +
                             " ms after the third crash=" + std::to_string(ledger.LateArrivals()) +
                             ", allowed=" + std::to_string(kMostRetries);
  m_record.Write(result);
  std::cout << result << "\n";
  return ledger.LateArrivals() > kMostRetries;
}

void HarmfulPlay::PlayOthers(const std::atomic<bool>& stopping) {
  std::map<unsigned, int> statuses;
  for (std::size_t number = 0; !stopping; ++number) {
    const std::string name = std::to_string(number);
    const ClientAnswer answer = SendCall(m_world.CallersPort(number % kInstances),
                                         {"GET", "/other/" + name, "other-" + name, kKey, ""});
    ++statuses[answer.status.value_or(0)];
    std::this_thread::sleep_for(kBetweenOthers);
  }
  for (const auto& [status, count] : statuses) {
    m_record.Write("other clients: answered " + std::to_string(status) + ": " +
                   std::to_string(count));
  }
}

void HarmfulPlay::End() {
  for (std::size_t instance = 0; instance < m_world.InstanceCount(); ++instance) {
    m_world.Kill(instance);
  }
}

void HarmfulPlay::OnArrival(const std::string& path, Meeting met) {
  if (path.find(kHarmfulMark) == std::string::npos) {
    return;
  }
  m_record.Write("worker: " + path + (met == Meeting::kCrashed ? " crashes it" : " answered 500"));
  const std::lock_guard lock(m_mutex);
  m_ledgers[path].Add(met);
}

}  // namespace zinnia::review
