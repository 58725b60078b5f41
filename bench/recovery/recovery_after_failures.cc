#include "recovery_after_failures.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

#include "samples.h"
#include "tests/processes/fleet_fixture.h"
#include "tests/processes/polling.h"

namespace zinnia::bench {

namespace {

using testing::ChatCall;
using testing::Fleet;
using testing::StreamedAnswer;

constexpr int kFailures = 30;
constexpr std::size_t kInstances = 3;
constexpr std::size_t kTokensBeforeTheFailure = 10;

/** An organisation may cause three recoveries at once before its retry budget is spent. */
constexpr int kOrganisations = kFailures;

std::vector<std::string> Organisations() {
  std::vector<std::string> names = {"kitanda"};
  for (int number = 0; number < kOrganisations; ++number) {
    names.push_back(fmt::format("shirika{}", number));
  }
  return names;
}

/** Each answer needs its own words: a request that was at a crash is held back when it comes
    again. */
ChatCall NewCall(const char* kind, int number) {
  ChatCall call;
  call.prompt = fmt::format("Je, kuna vitanda {} kwa usiku wa {} ?", number, kind);
  call.organisation = fmt::format("shirika{}", number % kOrganisations);
  return call;
}

/** Three replicas a stage: one that was just started again holds nothing yet in the eyes of the
    instances, and must not be the only spare. */
class RecoveryMeter {
 public:
  RecoveryMeter()
      : m_fleet({.replicas = 3,
                 .instances = kInstances,
                 .answer_tokens = 24,
                 .organisations = Organisations()}) {}

  void MeasureHealthy() {
    Samples between_tokens;
    for (int number = 0; number < 10; ++number) {
      ChatCall call = NewCall("Jumatatu", number);
      std::optional<SteadyTime> last;
      std::size_t tokens = 0;
      call.on_progress = [&](const StreamedAnswer& so_far) {
        if (so_far.tokens.size() > tokens) {
          if (last) {
            between_tokens.AddSince(*last);
          }
          last = std::chrono::steady_clock::now();
          tokens = so_far.tokens.size();
        }
        return true;
      };
      m_fleet.Chat(0, call);
    }
    between_tokens.Print("healthy_token");
  }

  void MeasureStageFailures(const char* name, int signal) {
    Samples waits;
    for (int number = 0; number < kFailures; ++number) {
      Fleet::Engine* victim = nullptr;
      const StreamedAnswer answer = FailStage(NewCall(name, number), number, signal, victim, waits);
      CountUnlessWhole(answer);
      ReadRecovery(answer.session);
      if (victim != nullptr) {
        BringBack(*victim, signal);
      }
    }
    waits.Print(fmt::format("recovery_{}", name));
    PrintParts(name);
  }

  void MeasureInstanceFailures() {
    Samples waits;
    for (int number = 0; number < kFailures; ++number) {
      FailInstance(static_cast<std::size_t>(number) % kInstances, NewCall("instance", number),
                   waits);
    }
    waits.Print("recovery_instance");
    std::cout << "recovery_instance_not_whole=" << std::exchange(m_not_whole, 0) << std::endl;
  }

 private:
  StreamedAnswer FailStage(ChatCall call,
                           int number,
                           int signal,
                           Fleet::Engine*& victim,
                           Samples& waits) {
    const auto stage = static_cast<std::size_t>(number) % 3;
    std::optional<SteadyTime> failed_at;
    std::size_t tokens_at_failure = 0;
    bool waited = false;
    call.on_progress = [&](const StreamedAnswer& so_far) {
      const std::size_t tokens = so_far.tokens.size();
      if (victim == nullptr && tokens >= 2) {
        victim = EngineOfRoute(stage);
      } else if (victim != nullptr && !failed_at && tokens >= kTokensBeforeTheFailure) {
        victim->process->Signal(signal);
        failed_at = std::chrono::steady_clock::now();
        tokens_at_failure = tokens;
      } else if (failed_at && !waited && tokens > tokens_at_failure) {
        waits.AddSince(*failed_at);
        waited = true;
      }
      return true;
    };
    return m_fleet.Chat(0, call);
  }

  Fleet::Engine* EngineOfRoute(std::size_t stage) {
    const auto routes = m_fleet.Column(0, "sessions", "route");
    const auto found = std::ranges::find_if(m_fleet.Engines(), [&](const Fleet::Engine& engine) {
      return engine.stage == stage && !routes.empty() &&
             routes.front().find(engine.name) != std::string::npos;
    });
    return found == m_fleet.Engines().end() ? nullptr : &*found;
  }

  void BringBack(Fleet::Engine& engine, int signal) {
    if (signal == SIGSTOP) {
      engine.process->Signal(SIGCONT);
    } else {
      m_fleet.RestartEngine(engine);
    }
    const bool back = testing::Eventually([&] {
      const auto states = m_fleet.Column(0, "backend_servers where name = " + engine.name, "state");
      return states == std::vector<std::string>{"live"};
    });
    if (!back) {
      std::cout << "not_back=" << engine.name << std::endl;
    }
  }

  void FailInstance(std::size_t instance, ChatCall call, Samples& waits) {
    SteadyTime failed_at;
    bool failed = false;
    call.on_progress = [&](const StreamedAnswer& so_far) {
      if (!failed && so_far.tokens.size() >= kTokensBeforeTheFailure) {
        failed = true;
        failed_at = std::chrono::steady_clock::now();
        m_fleet.Instance(instance).process->Signal(SIGKILL);
      }
      return true;
    };
    const StreamedAnswer first = m_fleet.Chat(instance, call);
    bool waited = false;
    call.last_event_id = first.last_event_id;
    call.on_progress = [&](const StreamedAnswer& so_far) {
      if (!waited && !so_far.tokens.empty()) {
        waits.AddSince(failed_at);
        waited = true;
      }
      return true;
    };
    CountUnlessWhole(m_fleet.Chat((instance + 1) % kInstances, call));
    m_fleet.Instance(instance).process->WaitForEnd(testing::kPollingBound);
    m_fleet.StartInstance(instance);
    if (!m_fleet.WaitUntilReady(instance)) {
      std::cout << "not_back=entry" << instance << std::endl;
    }
  }

  void CountUnlessWhole(const StreamedAnswer& answer) {
    if (!answer.done) {
      ++m_not_whole;
      std::cout << "not_whole=" << answer.error_kind << " " << answer.detail << std::endl;
    }
  }

  /** Takes the parts of the recovery from what `explain` says of the session. */
  void ReadRecovery(const std::string& session) {
    const auto answer = m_fleet.Command(0, fmt::format("explain session \"{}\"", session));
    if (answer.status != 200) {
      return;
    }
    const boost::json::value explanation = answer.Json();
    for (const auto& row : explanation.at("rows").as_array()) {
      if (row.at("decision").as_string() == "finish_recovery") {
        const std::string facts(row.at("facts").as_string());
        AddPart(facts, "detection=", m_detection);
        AddPart(facts, "choice=", m_choice);
        AddPart(facts, "rebuild=", m_rebuild);
      }
    }
  }

  static void AddPart(const std::string& facts, const std::string& name, Samples& part) {
    if (const std::size_t at = facts.find(name); at != std::string::npos) {
      constexpr double kMicrosecondsOfAMillisecond = 1000.0;
      part.Add(std::strtod(facts.c_str() + at + name.size(), nullptr) /
               kMicrosecondsOfAMillisecond);
    }
  }

  void PrintParts(const char* name) {
    std::exchange(m_detection, {}).Print(fmt::format("recovery_{}_detection", name));
    std::exchange(m_choice, {}).Print(fmt::format("recovery_{}_choice", name));
    std::exchange(m_rebuild, {}).Print(fmt::format("recovery_{}_rebuild", name));
    std::cout << "recovery_" << name << "_not_whole=" << std::exchange(m_not_whole, 0) << std::endl;
  }

  Fleet m_fleet;
  Samples m_detection;
  Samples m_choice;
  Samples m_rebuild;
  int m_not_whole = 0;
};

}  // namespace

void MeasureRecoveries() {
  RecoveryMeter meter;
  meter.MeasureHealthy();
  meter.MeasureStageFailures("stage", SIGKILL);
  meter.MeasureStageFailures("freeze", SIGSTOP);
  meter.MeasureInstanceFailures();
}

}  // namespace zinnia::bench
