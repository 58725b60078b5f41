#include "daemon.h"

#include <fmt/format.h>

#include <future>
#include <mutex>
#include <utility>

#include "control_side.h"
#include "daemon_operator_desk.h"
#include "suspect_gate.h"
#include "traffic_side.h"
#include "zinnia_adapters/callers/caller_server.h"
#include "zinnia_adapters/operators/operator_server.h"
#include "zinnia_adapters/operators/operator_server_options.h"
#include "zinnia_adapters/settings/text_file.h"
#include "zinnia_adapters/threads/control_thread.h"
#include "zinnia_adapters/threads/traffic_thread.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/sessions/signed_resume_token_codec.h"

namespace zinnia {
namespace {

/** Handing over roles needs the store; a store that is down must not keep the process alive. */
constexpr std::chrono::seconds kLongestHandOver{5};

std::uint64_t StartNumber(const Clock& clock) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(clock.WallNow().time_since_epoch())
          .count());
}

}  // namespace

struct Daemon::Secrets {
  std::string cluster;
  std::string resume;
  std::string operator_key;
};

struct Daemon::TrafficLane {
  explicit TrafficLane(TrafficThread::OnFailure on_failure) : thread(std::move(on_failure)) {}

  TrafficThread thread;
  std::unique_ptr<TrafficSide> side;
};

Result<std::unique_ptr<Daemon>> Daemon::Create(InstanceSettings settings,
                                               Clock& clock,
                                               Logger& logger) {
  const Result<Secrets> secrets = ReadSecrets(settings);
  if (!secrets) {
    return secrets.error();
  }
  try {
    return std::unique_ptr<Daemon>(new Daemon(std::move(settings), *secrets, clock, logger));
  } catch (const ErrorException& exception) {
    return exception.GetError();
  }
}

Daemon::Daemon(InstanceSettings settings, const Secrets& secrets, Clock& clock, Logger& logger)
    : m_settings(std::move(settings)),
      m_start(StartNumber(clock)),
      m_clock(clock),
      m_logger(logger),
      m_decisions(logger) {
  m_resume_tokens = SignedResumeTokenCodec::Create(secrets.resume).value();
  m_suspect_claims = std::make_unique<SuspectClaims>(clock);
  StartControl(secrets.cluster).value();
  try {
    StartTraffic();
    StartOperators(secrets.operator_key);
  } catch (const ErrorException&) {
    Stop();
    throw;
  }
  WatchSnapshots();
}

Daemon::~Daemon() {
  Stop();
}

Result<Daemon::Secrets> Daemon::ReadSecrets(const InstanceSettings& settings) {
  try {
    return Secrets{ReadSecretFile("cluster_secret_file", settings.cluster_secret_file).value(),
                   ReadSecretFile("resume_secret_file", settings.resume_secret_file).value(),
                   ReadSecretFile("operator_key_file", settings.operator_key_file).value()};
  } catch (const ErrorException& exception) {
    return exception.GetError();
  }
}

Result<void> Daemon::StartControl(const std::string& cluster_secret) {
  auto thread =
      ControlThread::Start(m_clock, m_metrics, m_logger, [&](ControlThread& control_thread) {
        m_control = std::make_unique<ControlSide>(
            control_thread, ControlSideParts{m_settings, cluster_secret, m_start, m_clock,
                                             m_metrics, m_logger, m_decisions});
      });
  if (!thread) {
    return thread.error();
  }
  m_control_thread = std::move(*thread);
  return {};
}

void Daemon::StartTraffic() {
  NetworkAddress address = m_settings.callers_address;
  for (std::size_t number = 0; number < m_settings.traffic_threads; ++number) {
    m_lanes.push_back(std::make_unique<TrafficLane>(ReportTrafficFailure()));
    TrafficLane& lane = *m_lanes.back();
    lane.thread.Start();
    std::optional<Error> failure;
    lane.thread.RunAndWait([&] {
      try {
        lane.side = std::make_unique<TrafficSide>(
            lane.thread,
            TrafficSideParts{m_settings, m_start, number, address, m_clock, m_metrics, m_logger,
                             m_decisions, *m_resume_tokens, *m_control_thread, *m_control,
                             *m_suspect_claims, [this] { return NotReadyReasons(); }});
        address.port = lane.side->Server().Port();
      } catch (const ErrorException& exception) {
        failure = exception.GetError();
      }
    });
    if (failure) {
      throw ErrorException(*failure);
    }
  }
}

std::function<void(std::string_view)> Daemon::ReportTrafficFailure() {
  return [this](std::string_view reason) {
    m_metrics.Count("traffic_thread_failures");
    m_logger.Log(LogLevel::kError, "traffic_thread_failure", {{"reason", std::string(reason)}});
  };
}

void Daemon::StartOperators(const std::string& operator_key) {
  m_operators_thread = std::make_unique<TrafficThread>(ReportTrafficFailure());
  m_operators_thread->Start();
  m_desk = std::make_unique<DaemonOperatorDesk>(DaemonOperatorDesk::Parts{
      m_control_thread->Poster(),
      [this](std::function<void()> call) { m_operators_thread->Post(std::move(call)); }, *m_control,
      m_decisions, m_metrics, [this](auto callback) { CollectSessions(std::move(callback)); }});
  OperatorServerOptions options;
  options.address = m_settings.operators_address;
  options.operator_key = operator_key;
  options.metrics_need_key = m_settings.metrics_need_key;
  options.change_id_prefix = fmt::format("{}-{:x}", m_settings.instance, m_start);
  m_operator_server =
      OperatorServer::Start(m_operators_thread->Loop(), options, *m_desk, m_metrics, *this).value();
}

void Daemon::WatchSnapshots() {
  m_control_thread->Post([this] {
    m_control->Control().AddSnapshotListener(*this);
    OnSnapshot(m_control->Control().Current());
  });
}

void Daemon::OnSnapshot(std::shared_ptr<const FleetSnapshot> snapshot) {
  m_control->OnSnapshot(*snapshot);
  m_control_ready = m_control->Control().IsReady();
  for (const auto& lane : m_lanes) {
    lane->thread.Post([&side = lane->side] {
      if (side) {
        side->OnSnapshot();
      }
    });
  }
}

void Daemon::CollectSessions(const std::function<void(std::vector<SessionStatus>)>& callback) {
  struct Collection {
    std::mutex mutex;
    std::size_t waiting = 0;
    std::vector<SessionStatus> sessions;
  };
  const auto collection = std::make_shared<Collection>();
  collection->waiting = m_lanes.size();
  for (const auto& lane : m_lanes) {
    lane->thread.Post([&side = lane->side, collection, callback] {
      const std::lock_guard lock(collection->mutex);
      for (SessionStatus& status : side->Server().Sessions()) {
        collection->sessions.push_back(std::move(status));
      }
      if (--collection->waiting == 0) {
        callback(std::move(collection->sessions));
      }
    });
  }
}

std::vector<std::string> Daemon::NotReadyReasons() const {
  if (m_draining) {
    return {"draining"};
  }
  if (!m_control_ready) {
    return {"no configuration is in force yet, or the platform's list was not read yet"};
  }
  return {};
}

Result<void> Daemon::CheckReady() const {
  const std::vector<std::string> reasons = NotReadyReasons();
  if (reasons.empty()) {
    return {};
  }
  return MakeError(m_draining ? ErrorKind::kDraining : ErrorKind::kNoPipeline,
                   fmt::format("{}", fmt::join(reasons, "; ")));
}

void Daemon::BeginDrain() {
  m_draining = true;
  for (const auto& lane : m_lanes) {
    lane->thread.RunAndWait([&] { lane->side->Server().BeginDrain(); });
  }
}

std::vector<std::string> Daemon::InFlight() {
  std::vector<std::string> lines;
  for (const auto& lane : m_lanes) {
    lane->thread.RunAndWait([&] {
      const CallerServer& server = lane->side->Server();
      for (std::string& line : server.Describe()) {
        lines.push_back(std::move(line));
      }
      if (lines.empty() && server.InFlight() > 0) {
        lines.emplace_back("an answer that is not written out yet");
      }
    });
  }
  return lines;
}

void Daemon::Stop() {
  if (std::exchange(m_stopped, true)) {
    return;
  }
  for (const auto& lane : m_lanes) {
    lane->thread.RunAndWait([&] {
      if (lane->side) {
        lane->side->Server().CutOff();
      }
    });
  }
  if (m_operators_thread) {
    m_operators_thread->RunAndWait([this] { m_operator_server.reset(); });
  }
  HandOver();
  for (const auto& lane : m_lanes) {
    lane->thread.RunAndWait([&] { lane->side.reset(); });
    lane->thread.Stop();
  }
  m_control_thread->Stop([this] { m_control.reset(); });
  if (m_operators_thread) {
    m_operators_thread->Stop();
  }
}

void Daemon::HandOver() {
  auto handed_over = std::make_shared<std::promise<void>>();
  m_control_thread->Post([this, handed_over] {
    m_control->Control().RemoveSnapshotListener(*this);
    m_control->StopPlanned([handed_over] { handed_over->set_value(); });
  });
  if (handed_over->get_future().wait_for(kLongestHandOver) != std::future_status::ready) {
    m_logger.Log(LogLevel::kWarning, "hand_over_incomplete",
                 {{"remedy", "none needed; other instances take the roles over by themselves"}});
  }
}

}  // namespace zinnia
