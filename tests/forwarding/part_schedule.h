#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/forwarding/part_schedule_settings.h"
#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/crashes/part_quarantine.h"
#include "zinnia_decisions/forwarding/crashes/request_quarantine.h"

namespace zinnia {

/** Plays random traffic on servers that crash of some parts of prompts, with one PartQuarantine an
    instance that hears of crashes late, and counts what harmful parts cost and which sound requests
    are refused. Sends and retries follow the rules of ForwardExchange. */
class PartSchedule {
 public:
  explicit PartSchedule(const PartScheduleSettings& settings)
      : m_settings(settings), m_random(settings.seed) {
    for (std::size_t number = 0; number < settings.instances; ++number) {
      m_instances.push_back(MakeInstance(number));
    }
    m_servers.resize(settings.servers);
    const std::size_t first =
        settings.first_servers == 0 ? settings.servers : settings.first_servers;
    for (std::size_t server = 0; server < first; ++server) {
      m_servers[server].begins = true;
    }
    for (std::size_t part = 0; part < settings.shared_parts; ++part) {
      m_popularity.push_back(1.0 / static_cast<double>(part + 1));
    }
  }

  void Run() {
    m_end = m_clock.now + m_settings.duration;
    m_harmful_from = m_clock.now + m_settings.harmful_from;
    for (std::size_t number = 0; number < m_settings.harmful_parts; ++number) {
      const Fingerprint part =
          m_settings.was_sound_before
              ? SharedPart(
                    m_settings.is_most_common ? 0 : RandomBelow(m_random, m_settings.shared_parts))
              : Fingerprint{kHarmfulParts, number};
      m_harms.try_emplace(part);
      At(m_settings.harmful_from, [this, part] { SendHarmful(part); });
    }
    if (m_settings.is_common_part_harmful) {
      m_harms.try_emplace(kCommonPart);
    }
    At(milliseconds(0), [this] { SendSound(); });
    PlayDisturbances();
    Upkeep();
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_clock.now = event.at;
      event.action();
    }
  }

  /** The most sends with one harmful part later than the stability window after the fifth crash. */
  int MostSentLate() const {
    int most = 0;
    for (const auto& [part, harm] : m_harms) {
      most = std::max(most, harm.sent_late);
    }
    return most;
  }

  /** The most servers that one harmful part ended. */
  int MostEnded() const {
    int most = 0;
    for (const auto& [part, harm] : m_harms) {
      most = std::max(most, harm.ended);
    }
    return most;
  }

  int SoundRefused() const { return m_sound_refused; }

  /** Sound requests that were refused for a while, as a part of theirs was suspected. */
  int SoundHeld() const { return m_sound_held; }

  /** Sound requests that lost their server and were not sent again. */
  int SoundNotRepeated() const { return m_sound_not_repeated; }

  /** The longest time from the first server that a harmful part ended until all instances refused
      it; zero if none did. */
  Duration LongestUntilRefused() const {
    Duration longest{};
    for (const auto& [part, harm] : m_harms) {
      longest = std::max(longest, harm.refused_at - std::min(harm.refused_at, harm.first_at));
    }
    return longest;
  }
  int SoundSent() const { return m_sound_sent; }

  /** Which part of sound requests begins at the first attempt while a part does harm, later than
      twice the stability window after its fifth crash. */
  double SoundBegunLate() const {
    return m_sound_late == 0 ? 1.0 : static_cast<double>(m_sound_late_begun) / m_sound_late;
  }
  int Crashes() const { return m_crashes; }
  int Cleared() const { return m_cleared; }

 private:
  using milliseconds = std::chrono::milliseconds;
  using Parts = std::vector<Fingerprint>;

  static constexpr std::uint64_t kSharedParts = 1;
  static constexpr std::uint64_t kHarmfulParts = 2;
  static constexpr Fingerprint kCommonPart{3, 0};
  static constexpr int kCalls = 4;
  static constexpr int kServersOfCall = 3;
  static constexpr int kCrashesBeforeRule = 5;
  static constexpr milliseconds kStabilityWindow{3'000};
  static constexpr milliseconds kUpkeepPeriod{200};
  static constexpr milliseconds kRoomPeriod{50};
  static constexpr milliseconds kLongestWait{300};

  struct ManualClock final : Clock {
    TimePoint Now() const override { return now; }
    WallTimePoint WallNow() const override { return WallTimePoint(now.time_since_epoch()); }
    TimePoint now{std::chrono::hours(1)};
  };
  struct Event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  struct Request {
    Parts parts;
    std::size_t instance = 0;
    int calls_left = kCalls;
    int servers_left = kServersOfCall;

    /** Since when it has waited for room. */
    TimePoint waits_since{};

    /** Its beginning counts for SoundBegunLate. */
    bool is_counted = false;
  };
  struct Attempt {
    Request request;
    std::size_t server = 0;
    TimePoint sent_at{};
    TimePoint began_at{};
    bool has_begun = false;
    bool has_ended = false;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  struct Server {
    int starts = 0;
    bool is_up = true;

    /** Requests begin at it. */
    bool begins = false;
    std::vector<AttemptPtr> in_flight;
  };
  struct Harm {
    int ended = 0;
    int sent_late = 0;
    TimePoint first_at = TimePoint::max();
    TimePoint fifth_at = TimePoint::max();

    /** By all instances. */
    TimePoint refused_at{};
  };

  static Fingerprint SharedPart(std::size_t number) { return {kSharedParts, number}; }

  void At(Duration delay, std::function<void()> action) {
    m_events.push({m_clock.now + delay, m_next_number++, std::move(action)});
  }
  milliseconds Milliseconds(std::uint64_t least, std::uint64_t most) {
    return milliseconds(least + RandomBelow(m_random, most - least + 1));
  }
  Duration Gap(double per_second) {
    const double gap = -std::log(1.0 - RandomUnit(m_random)) / per_second;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
  }

  std::shared_ptr<PartQuarantine> MakeInstance(std::size_t number) const {
    auto instance = std::make_shared<PartQuarantine>(m_clock, PartQuarantineSettings());
    instance->SetPlace({number, m_settings.instances});
    return instance;
  }

  /** A part that ends the server now. */
  const Fingerprint* HarmfulPartOf(const Parts& parts) const {
    const auto found = std::find_if(parts.begin(), parts.end(), [this](const Fingerprint& part) {
      return m_harms.contains(part) && m_clock.now >= m_harmful_from;
    });
    return found == parts.end() ? nullptr : &*found;
  }

  Parts RandomParts(std::size_t least, std::size_t most) {
    const std::size_t count = least + RandomBelow(m_random, most - least + 1);
    std::discrete_distribution<std::size_t> choose(m_popularity.begin(), m_popularity.end());
    std::set<Fingerprint> parts;
    while (parts.size() < count) {
      parts.insert(SharedPart(choose(m_random)));
    }
    if (m_settings.have_common_part) {
      parts.insert(kCommonPart);
    }
    return {parts.begin(), parts.end()};
  }

  void SendSound() {
    if (m_clock.now >= m_end) {
      return;
    }
    const Parts parts = RandomParts(2, 4);
    const bool is_sound = HarmfulPartOf(parts) == nullptr;
    m_sound_sent += is_sound ? 1 : 0;
    Request request;
    request.parts = parts;
    request.is_counted = is_sound && IsLate(2 * kStabilityWindow);
    m_sound_late += request.is_counted ? 1 : 0;
    Call(request);
    At(Gap(m_settings.sound_per_second), [this] { SendSound(); });
  }

  void SendHarmful(const Fingerprint& part) {
    if (m_clock.now >= m_end) {
      return;
    }
    Parts parts = RandomParts(1, 3);
    if (std::find(parts.begin(), parts.end(), part) == parts.end()) {
      parts.insert(
          parts.begin() + static_cast<std::ptrdiff_t>(RandomBelow(m_random, parts.size() + 1)),
          part);
    }
    Request request;
    request.parts = parts;
    Call(request);
    At(Gap(m_settings.harmful_per_second), [this, part] { SendHarmful(part); });
  }

  void Call(Request request) {
    request.instance = RandomBelow(m_random, m_instances.size());
    request.servers_left = kServersOfCall;
    request.waits_since = m_clock.now;
    Send(request);
  }

  void CallAgain(Request request) {
    request.is_counted = false;
    if (--request.calls_left > 0) {
      At(Milliseconds(300, 1'000), [=, this] { Call(request); });
    }
  }

  void Send(const Request& request) {
    if (m_instances[request.instance]->FindQuarantined(request.parts)) {
      m_sound_refused += HarmfulPartOf(request.parts) == nullptr ? 1 : 0;
      CallAgain(request);
      return;
    }
    const std::vector<std::size_t> open = OpenServers();
    if (open.empty()) {  // It waits for room.
      At(kRoomPeriod, [=, this] { Send(request); });
      return;
    }
    if (m_instances[request.instance]->MustWait(request.parts)) {
      WaitForTurn(request);
      return;
    }
    m_instances[request.instance]->OnSent(request.parts);
    const auto attempt = std::make_shared<Attempt>();
    attempt->request = request;
    --attempt->request.servers_left;
    attempt->server = open[RandomBelow(m_random, open.size())];
    attempt->sent_at = m_clock.now;
    m_servers[attempt->server].in_flight.push_back(attempt);
    CountLate(request.parts);
    At(Milliseconds(5, 250), [this, attempt] { Begin(attempt); });
  }

  /** One that waits for long is refused as not run. */
  void WaitForTurn(const Request& request) {
    if (m_clock.now - request.waits_since < kLongestWait) {
      At(kRoomPeriod, [=, this] { Send(request); });
      return;
    }
    m_sound_held += HarmfulPartOf(request.parts) == nullptr ? 1 : 0;
    CallAgain(request);
  }

  /** The servers at which requests can begin now. */
  std::vector<std::size_t> OpenServers() const {
    std::vector<std::size_t> open;
    for (std::size_t server = 0; server < m_servers.size(); ++server) {
      if (m_servers[server].is_up && m_servers[server].begins) {
        open.push_back(server);
      }
    }
    return open;
  }

  /** Whether a part has ended five servers this long ago. */
  bool IsLate(Duration window) const {
    return std::any_of(m_harms.begin(), m_harms.end(), [&](const auto& harm) {
      return harm.second.fifth_at != TimePoint::max() &&
             m_clock.now > harm.second.fifth_at + window;
    });
  }

  void CountLate(const Parts& parts) {
    for (const Fingerprint& part : parts) {
      const auto harm = m_harms.find(part);
      if (harm != m_harms.end() && harm->second.fifth_at != TimePoint::max() &&
          m_clock.now > harm->second.fifth_at + kStabilityWindow) {
        ++harm->second.sent_late;
      }
    }
  }

  void Begin(const AttemptPtr& attempt) {
    if (attempt->has_ended) {
      return;
    }
    if (const Fingerprint* part = HarmfulPartOf(attempt->request.parts)) {
      attempt->has_begun = RandomUnit(m_random) >= m_settings.unseen_beginnings;
      attempt->began_at = m_clock.now;
      At(attempt->has_begun ? Milliseconds(5, 120) : milliseconds(0),
         [this, attempt, part = *part] { EndServerOf(attempt, part); });
      return;
    }
    attempt->has_begun = true;
    attempt->began_at = m_clock.now;
    m_sound_late_begun += std::exchange(attempt->request.is_counted, false) ? 1 : 0;
    At(RequestQuarantine::kOnsetTime, [this, attempt] {
      if (!attempt->has_ended) {
        m_instances[attempt->request.instance]->OnSurvived(attempt->request.parts,
                                                           attempt->began_at);
        TellCleared(attempt->request.instance);
      }
    });
    At(Milliseconds(500, 4'000), [this, attempt] {
      if (!attempt->has_ended) {
        attempt->has_ended = true;
        std::erase(m_servers[attempt->server].in_flight, attempt);
      }
    });
  }

  void TellCleared(std::size_t instance) {
    for (const ClearedRequest& cleared : m_instances[instance]->TakeCleared()) {
      ++m_cleared;
      const TimePoint began_at = m_clock.now - cleared.age;
      for (std::size_t peer = 0; peer < m_instances.size(); ++peer) {
        if (peer != instance) {
          At(Milliseconds(100, 350), [=, this, told = cleared]() mutable {
            told.age = std::chrono::duration_cast<milliseconds>(m_clock.now - began_at);
            m_instances[peer]->OnCleared(told);
          });
        }
      }
    }
  }

  void EndServerOf(const AttemptPtr& attempt, const Fingerprint& part) {
    if (attempt->has_ended) {
      return;
    }
    Harm& harm = m_harms.at(part);
    harm.first_at = std::min(harm.first_at, m_clock.now);
    harm.fifth_at = ++harm.ended == kCrashesBeforeRule ? m_clock.now : harm.fifth_at;
    Crash(attempt->server);
  }

  void Crash(std::size_t index) {
    Server& server = m_servers[index];
    if (!server.is_up) {
      return;
    }
    ++m_crashes;
    server.is_up = false;
    const std::string name = std::to_string(index) + "@" + std::to_string(server.starts);
    std::map<std::size_t, std::vector<AttemptPtr>> broken;
    for (const AttemptPtr& attempt : std::exchange(server.in_flight, {})) {
      attempt->has_ended = true;
      broken[attempt->request.instance].push_back(attempt);
    }
    for (const auto& [instance, attempts] : broken) {  // Busy instances see it late.
      At(Milliseconds(1, 100), [=, this, attempts = attempts] { OnBroken(attempts, name); });
    }
    At(Milliseconds(2'500, 3'500), [&server] {
      server.is_up = true;
      ++server.starts;
    });
    if (m_settings.first_servers > 0 && std::exchange(server.begins, false)) {
      At(Milliseconds(1'000, 3'000), [this] { TakePlace(); });
    }
  }

  /** A server of another role loads the first layers instead of one that ended. */
  void TakePlace() {
    std::vector<std::size_t> others;
    for (std::size_t server = 0; server < m_servers.size(); ++server) {
      if (m_servers[server].is_up && !m_servers[server].begins) {
        others.push_back(server);
      }
    }
    if (others.empty()) {
      At(kRoomPeriod, [this] { TakePlace(); });
    } else {
      m_servers[others[RandomBelow(m_random, others.size())]].begins = true;
    }
  }

  void OnBroken(const std::vector<AttemptPtr>& attempts, const std::string& server) {
    const TimePoint broken_at = m_clock.now;
    std::map<Fingerprint, CrashReport> by_part;
    for (const AttemptPtr& attempt : attempts) {
      for (const Fingerprint& part : attempt->request.parts) {
        AddReport(*attempt, part, server, by_part);
      }
    }
    const std::size_t instance = attempts.front()->request.instance;
    At(Milliseconds(30, 60), [=, this] {
      Tell(by_part, broken_at, instance);
      for (std::size_t peer = 0; peer < m_instances.size(); ++peer) {
        if (peer != instance) {
          At(Milliseconds(100, 350), [=, this] { Tell(by_part, broken_at, peer); });
        }
      }
    });
    for (const AttemptPtr& attempt : attempts) {
      Retry(*attempt);
    }
  }

  /** Of several requests with a part, the one that had just begun tells most. */
  void AddReport(const Attempt& attempt,
                 const Fingerprint& part,
                 const std::string& server,
                 std::map<Fingerprint, CrashReport>& by_part) const {
    const Duration ran = attempt.has_begun ? m_clock.now - attempt.began_at : Duration::zero();
    CrashReport report;
    report.kind = SuspectKind::kPromptPart;
    report.request = part;
    report.server = server;
    report.onset = !attempt.has_begun                    ? CrashOnset::kQueued
                   : ran < RequestQuarantine::kOnsetTime ? CrashOnset::kBegun
                                                         : CrashOnset::kRunning;
    report.in_flight = std::chrono::duration_cast<milliseconds>(m_clock.now - attempt.sent_at);
    report.ran = std::chrono::duration_cast<milliseconds>(ran);
    const auto [known, is_new] = by_part.try_emplace(part, report);
    const auto rank = [](CrashOnset onset) {
      return onset == CrashOnset::kBegun ? 2 : onset == CrashOnset::kRunning ? 0 : 1;
    };
    if (!is_new && rank(report.onset) > rank(known->second.onset)) {
      known->second = report;
    }
  }

  void Tell(const std::map<Fingerprint, CrashReport>& reports,
            TimePoint broken_at,
            std::size_t instance) {
    for (const auto& [part, told] : reports) {
      CrashReport report = told;
      report.age = std::chrono::duration_cast<milliseconds>(m_clock.now - broken_at);
      m_instances[instance]->OnCrash(report);
    }
    TellCleared(instance);
  }

  void Retry(const Attempt& attempt) {
    const bool was_running =
        attempt.has_begun && m_clock.now - attempt.began_at >= RequestQuarantine::kOnsetTime;
    const Request& request = attempt.request;
    if (!was_running && m_instances[request.instance]->HasStrongSuspect(request.parts)) {
      m_sound_not_repeated += HarmfulPartOf(request.parts) == nullptr ? 1 : 0;
    } else if (request.servers_left > 0) {
      Send(request);
      return;
    }
    CallAgain(request);
  }

  void Upkeep() {
    for (std::size_t instance = 0; instance < m_instances.size(); ++instance) {
      At(Milliseconds(0, kUpkeepPeriod.count() - 1), [this, instance] {
        m_instances[instance]->RemoveExpired();
        TellQuarantines(instance);
      });
    }
    if (m_clock.now < m_end) {
      At(kUpkeepPeriod, [this] { Upkeep(); });
    }
  }

  /** Each report of an instance holds the quarantines in force; only the changes are played. */
  void TellQuarantines(std::size_t instance) {
    for (const QuarantineReport& report : m_instances[instance]->InForce(16)) {
      if (!m_told.emplace(instance, report.request).second) {
        continue;
      }
      const TimePoint released_at = m_clock.now + report.remaining;
      for (std::size_t peer = 0; peer < m_instances.size(); ++peer) {
        if (peer != instance) {
          At(Milliseconds(100, 350), [=, this, told = report]() mutable {
            told.remaining = std::chrono::duration_cast<milliseconds>(released_at - m_clock.now);
            m_instances[peer]->OnQuarantine(told);
            NoteRefused(told.request);
          });
        }
      }
    }
  }

  void NoteRefused(const Fingerprint& part) {
    const auto harm = m_harms.find(part);
    if (harm != m_harms.end() && harm->second.refused_at == TimePoint() &&
        std::all_of(m_instances.begin(), m_instances.end(), [&part](const auto& instance) {
          return instance->FindQuarantined({part}).has_value();
        })) {
      harm->second.refused_at = m_clock.now;
    }
  }

  /** The instance that starts anew knows what another one reports to it first. */
  void StartAnew(std::size_t instance) {
    m_instances[instance] = MakeInstance(instance);
    const std::size_t peer = (instance + 1) % m_instances.size();
    for (const QuarantineReport& report : m_instances[peer]->InForce(16)) {
      m_instances[instance]->OnQuarantine(report);
    }
  }

  void PlayDisturbances() {
    if (m_settings.domains_die) {
      for (const int at : {4'500, 9'000}) {
        At(milliseconds(at), [this] {
          for (std::size_t server = 0; server < m_servers.size(); server += 3) {
            At(Milliseconds(0, 40), [this, server] { Crash(server); });
          }
        });
      }
    }
    if (m_settings.pool_dies_within > milliseconds(0)) {
      const auto within = static_cast<std::uint64_t>(m_settings.pool_dies_within.count());
      for (const int at : {6'000, 12'000}) {
        At(milliseconds(at), [this, within] {
          for (std::size_t server = 0; server < m_servers.size(); ++server) {
            At(Milliseconds(0, within), [this, server] { Crash(server); });
          }
        });
      }
    }
    if (m_settings.series > milliseconds(0)) {
      for (milliseconds at{2'000}; at < m_settings.duration; at += m_settings.series) {
        At(at, [this] { Crash(RandomBelow(m_random, m_servers.size())); });
      }
    }
    if (m_settings.restart_at > milliseconds(0)) {
      At(m_settings.restart_at, [this] { StartAnew(0); });
    }
  }

  const PartScheduleSettings m_settings;
  RandomSource m_random;
  ManualClock m_clock;
  TimePoint m_end{};
  TimePoint m_harmful_from{};
  std::priority_queue<Event> m_events;
  std::uint64_t m_next_number = 0;
  std::vector<double> m_popularity;
  std::vector<std::shared_ptr<PartQuarantine>> m_instances;
  std::vector<Server> m_servers;
  std::map<Fingerprint, Harm> m_harms;
  std::set<std::pair<std::size_t, Fingerprint>> m_told;
  int m_sound_late = 0;
  int m_sound_late_begun = 0;
  int m_sound_refused = 0;
  int m_sound_held = 0;
  int m_sound_not_repeated = 0;
  int m_sound_sent = 0;
  int m_crashes = 0;
  int m_cleared = 0;
};

}  // namespace zinnia
