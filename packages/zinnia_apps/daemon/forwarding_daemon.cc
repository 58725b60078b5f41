#include "forwarding_daemon.h"

#include <algorithm>
#include <future>
#include <optional>
#include <utility>

#include "platform/engine_client.h"
#include "platform/platform_codec.h"
#include "platform/platform_store.h"
#include "platform/record_reader.h"
#include "zinnia_adapters/fleet_news/report_client.h"
#include "zinnia_adapters/fleet_news/report_server.h"
#include "zinnia_adapters/forwarding/forwarding_traffic.h"
#include "zinnia_adapters/forwarding/text_server.h"
#include "zinnia_adapters/http/http_client.h"
#include "zinnia_adapters/platform/counting_platform_store.h"
#include "zinnia_adapters/threads/control_thread.h"
#include "zinnia_adapters/threads/traffic_thread.h"
#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/logging/standard_output_logger.h"
#include "zinnia_decisions/forwarding/forwarding_control.h"
#include "zinnia_decisions/forwarding/observed_state/change_delay.h"
#include "zinnia_decisions/forwarding/observed_state/relay_directory.h"

namespace zinnia {
namespace {

/** Peers and the log learn of the traffic this often. */
constexpr Duration kUpkeepInterval = std::chrono::milliseconds(100);

/** A watch, a few orders and renewals at most; more would be a fault. */
constexpr std::size_t kMostControlCalls = 32;

std::uint64_t StartOf(const Clock& clock) {
  return static_cast<std::uint64_t>(clock.WallNow().time_since_epoch().count());
}

/** Reports, health answers and answers to orders are some hundred bytes. */
constexpr std::size_t kMostEngineAnswerBytes = std::size_t{256} << 10;

HttpClientOptions ControlClientOptions() {
  HttpClientOptions options;
  options.calls_in_flight_per_address = kMostControlCalls;
  return options;
}

HttpClientOptions EngineClientOptions(HttpClientOptions options) {
  options.answer.body_bytes = kMostEngineAnswerBytes;
  return options;
}

SharedRetryBudgetSettings RetryBudgetOf(const ForwardingSettings& settings) {
  return {settings.retry_budget_ratio, settings.retry_budget_slack, settings.retry_budget_window};
}

void CheckChangeBound(const ForwardingSettings& settings, Logger& logger) {
  const ChangeDelay delay =
      ChangeDelay::Of(StoreMirrorSettings(), RelayDirectory::kStoreWatchersPerFleet);
  const auto checked = delay.Check(std::min(settings.change_bound, settings.departure_notice));
  if (!checked) {
    // Callers are better served by instances that are late than by none.
    logger.Log(LogLevel::kError, "change_bound_short", {{"reason", Describe(checked.error())}});
  }
}

Instance DescribeSelf(const ForwardingSettings& settings, std::uint64_t start) {
  Instance self;
  self.name = settings.instance;
  self.peer_address = settings.peer_address;
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  self.start = start;
  self.requests_port =
      settings.peer_requests_address ? settings.peer_requests_address->port : std::uint16_t{0};
  self.cores = settings.cores;
  self.link_mbps = settings.link_mbps;
  return self;
}

}  // namespace

/** The objects that speak the platform's language. */
struct ForwardingDaemon::PlatformParts {
  PlatformParts(const ForwardingSettings& settings,
                Clock& clock,
                Logger& logger,
                TrafficThread& traffic,
                const HttpClient::Post& to_control)
      : traffic_client(std::make_shared<HttpClient>(
            clock,
            [&traffic](std::function<void()> call) { traffic.Post(std::move(call)); },
            EngineClientOptions({}),
            traffic.Loop())),
        control_client(std::make_shared<HttpClient>(clock,
                                                    to_control,
                                                    EngineClientOptions(ControlClientOptions()),
                                                    traffic.Loop())),
        store_client(std::make_shared<HttpClient>(clock,
                                                  to_control,
                                                  ControlClientOptions(),
                                                  traffic.Loop())),
        store(store_client, settings.store_address),
        counted_store(store, clock, logger),
        traffic_engines(traffic_client),
        control_engines(control_client) {}

  std::shared_ptr<HttpClient> traffic_client;
  std::shared_ptr<HttpClient> control_client;
  std::shared_ptr<HttpClient> store_client;
  platform::PlatformCodec codec;
  platform::PlatformRecordReader reader;
  platform::KeyValueStore store;
  CountingPlatformStore counted_store;
  platform::EngineClient traffic_engines;
  platform::EngineClient control_engines;
};

Result<std::unique_ptr<ForwardingDaemon>> ForwardingDaemon::Create(ForwardingSettings settings,
                                                                   Clock& clock,
                                                                   StandardOutputLogger& logger) {
  std::unique_ptr<ForwardingDaemon> daemon(
      new ForwardingDaemon(std::move(settings), clock, logger));
  const Result<void> started = daemon->StartControl();
  if (!started) {
    return started.error();
  }
  return daemon;
}

ForwardingDaemon::ForwardingDaemon(ForwardingSettings settings,
                                   Clock& clock,
                                   StandardOutputLogger& logger)
    : m_settings(std::move(settings)), m_clock(clock), m_logger(logger), m_decisions(logger) {}

ForwardingDaemon::~ForwardingDaemon() {
  Stop();
}

Result<void> ForwardingDaemon::StartControl() {
  CheckChangeBound(m_settings, m_logger);
  m_traffic_thread = std::make_unique<TrafficThread>([this](std::string_view reason) {
    m_metrics.Count("traffic_thread_failures");
    m_logger.Log(LogLevel::kError, "traffic_thread_failure", {{"reason", std::string(reason)}});
  });
  m_traffic_thread->Start();
  auto thread = ControlThread::Start(m_clock, m_metrics, m_logger, [](ControlThread&) {});
  if (!thread) {
    return thread.error();
  }
  m_control_thread = std::move(*thread);
  m_platform = std::make_unique<PlatformParts>(m_settings, m_clock, m_logger, *m_traffic_thread,
                                               m_control_thread->Poster());
  std::optional<Error> failure;
  m_traffic_thread->RunAndWait([&] {
    try {
      StartTraffic();
    } catch (const ErrorException& exception) {
      failure = exception.GetError();
    }
  });
  if (failure) {
    return *failure;
  }
  std::promise<Result<void>> listening;
  m_control_thread->Post([&] {
    const std::uint64_t start = StartOf(m_clock);
    m_report_client = std::make_unique<ReportClient>(m_control_thread->Io(), m_clock, m_logger);
    m_control = std::make_unique<ForwardingControl>(
        ForwardingControlParts{m_clock, *m_control_thread, m_platform->counted_store,
                               m_platform->reader, *m_report_client, m_platform->control_engines,
                               m_decisions, m_logger, *this, DescribeSelf(m_settings, start),
                               m_settings.seeds, m_settings.engines_check_fencing},
        [this](std::shared_ptr<const ForwardingView> view) {
          m_knows_rules = view->rules != nullptr;
          m_traffic_thread->Post([this, view = std::move(view)] { m_traffic->SetView(view); });
        });
    auto server = ReportServer::Listen(m_control_thread->Io(), m_settings.peer_address,
                                       m_control->Reports(), m_logger);
    if (!server) {
      listening.set_value(server.error());
      return;
    }
    m_report_server = std::move(*server);
    m_control->Start();
    listening.set_value({});
  });
  return listening.get_future().get();
}

void ForwardingDaemon::StartTraffic() {
  m_traffic = std::make_unique<ForwardingTraffic>(
      *m_traffic_thread,
      ForwardingTrafficParts{
          m_clock, m_logger, m_metrics, m_platform->codec, m_platform->traffic_engines,
          m_settings.failure_domain, m_settings.callers_address, RetryBudgetOf(m_settings),
          m_settings.departure_notice, Hash64(m_settings.instance, StartOf(m_clock)),
          [this](const BackendServerName& server) {
            m_control_thread->Post([this, server] {
              m_control->Reports().SendStall(server);
              m_control->OnServerStalled(server);
            });
          },
          [this](const ServerStateReport& news) {
            m_control_thread->Post([this, news] { m_control->OnServerStateReport(news); });
          },
          [this](std::vector<ServerLimitReport> limits, bool heard_here) {
            m_control_thread->Post([this, limits = std::move(limits), heard_here]() mutable {
              m_control->Reports().SendServerLimits(std::move(limits), heard_here);
            });
          },
          m_settings.instance,
          [this](std::vector<CrashReport> crashes) {
            m_control_thread->Post([this, crashes = std::move(crashes)] {
              m_control->Reports().SendCrashes(crashes);
            });
          },
          [this](const QuarantineReport& quarantine) {
            m_control_thread->Post([this, quarantine] { m_control->OnQuarantined(quarantine); });
          },
          m_settings.peer_requests_address, m_settings.answer_limits,
          m_settings.answers_in_hand_bytes});
  ListenForTexts();
  ScheduleUpkeep();
}

void ForwardingDaemon::ListenForTexts() {
  auto& loop = m_traffic_thread->Loop();
  m_readiness = TextServer::Create(loop, m_settings.readiness_address, [this](const std::string&) {
                  const bool ready = m_knows_rules && !m_draining;
                  return TextServer::Answer{ready ? 200U : 503U, ready ? "ready\n" : "not ready\n"};
                }).value();
  m_metrics_server =
      TextServer::Create(loop, m_settings.metrics_address, [this](const std::string&) {
        return TextServer::Answer{200U, m_metrics.WriteText()};
      }).value();
}

void ForwardingDaemon::ScheduleUpkeep() {
  m_upkeep = m_traffic_thread->GetScheduler().ScheduleAfter(kUpkeepInterval, [this] { Upkeep(); });
}

void ForwardingDaemon::Upkeep() {
  m_logger.Flush();
  m_control_thread->Post(
      [this, own = m_traffic->OwnUses(), slow = m_traffic->SlowServers(),
       limits = m_traffic->TakeServerLimits(), quarantines = m_traffic->TakeQuarantines(),
       cleared = m_traffic->TakeCleared(), lengths = m_traffic->TakeAnswerLengths()]() mutable {
        if (m_control) {
          m_control->OnCleared(cleared);
          m_control->Reports().SendCleared(cleared);
          m_control->Reports().SetQuarantines(std::move(quarantines));
          m_control->Reports().SetServerLimits(std::move(limits));
          m_control->Reports().SetUses(std::move(own));
          m_control->Reports().SetAnswerLengths(lengths);
          m_control->Reports().SetSlowServers(std::move(slow));
        }
      });
  ScheduleUpkeep();
}

void ForwardingDaemon::OnDomainUses(const FailureDomainName& domain, LoadTracker::Uses uses) {
  m_traffic_thread->Post([this, domain, uses = std::move(uses)]() mutable {
    m_traffic->SetDomainUses(domain, std::move(uses));
  });
}

void ForwardingDaemon::OnPeerStalls(const std::vector<StallReport>& stalls) {
  for (const StallReport& stall : stalls) {
    m_control->OnServerStalled(stall.server);
  }
  m_traffic_thread->Post([this, stalls] { m_traffic->OnPeerStalls(stalls); });
}

void ForwardingDaemon::OnPeerServerState(const ServerStateReport& news) {
  m_control->OnServerStateReport(news);
}

void ForwardingDaemon::OnPeerSlowdowns(const std::vector<SlowdownReport>& slow_servers) {
  m_traffic_thread->Post([this, slow_servers] { m_traffic->OnPeerSlowdowns(slow_servers); });
}

void ForwardingDaemon::OnPeerServerLimits(const std::vector<ServerLimitReport>& limits) {
  m_traffic_thread->Post([this, limits] { m_traffic->OnPeerServerLimits(limits); });
}

void ForwardingDaemon::OnPeerCrashes(const std::vector<CrashReport>& crashes) {
  m_traffic_thread->Post([this, crashes] { m_traffic->OnPeerCrashes(crashes); });
}

void ForwardingDaemon::OnPeerQuarantines(const std::vector<QuarantineReport>& quarantines) {
  m_traffic_thread->Post([this, quarantines] { m_traffic->OnPeerQuarantines(quarantines); });
}

void ForwardingDaemon::OnPeerCleared(const std::vector<ClearedRequest>& requests) {
  m_control->OnCleared(requests);
  m_traffic_thread->Post([this, requests] { m_traffic->OnPeerCleared(requests); });
}

void ForwardingDaemon::OnPeerAnswerLengths(const std::vector<AnswerLengthRow>& rows) {
  if (!rows.empty()) {
    m_traffic_thread->Post([this, rows] { m_traffic->SetPeerAnswerLengths(rows); });
  }
}

void ForwardingDaemon::Reload(const ForwardingSettings& settings) {
  m_traffic_thread->Post(
      [this, budget = RetryBudgetOf(settings), notice = settings.departure_notice] {
        m_traffic->SetRetryBudget(budget);
        m_traffic->SetDepartureNotice(notice);
      });
}

void ForwardingDaemon::BeginDrain() {
  m_draining = true;
  m_traffic_thread->RunAndWait([this] { m_traffic->Server().BeginDrain(); });
}

void ForwardingDaemon::StopAccepting(Duration time_left) {
  m_traffic_thread->RunAndWait([&] { m_traffic->Server().StopAccepting(time_left); });
}

void ForwardingDaemon::AnswerRest() {
  m_traffic_thread->RunAndWait([this] { m_traffic->Server().AnswerRest(); });
}

std::vector<std::string> ForwardingDaemon::InFlight() {
  std::vector<std::string> lines;
  m_traffic_thread->RunAndWait([&] { lines = m_traffic->Server().Describe(); });
  return lines;
}

void ForwardingDaemon::Stop() {
  if (std::exchange(m_stopped, true)) {
    return;
  }
  if (m_traffic) {
    m_traffic_thread->RunAndWait([this] {
      m_upkeep.reset();
      m_traffic->Server().CutOff();
    });
  }
  if (m_control_thread) {
    m_control_thread->Stop([this] {
      if (m_control) {
        m_control->Stop();
      }
      m_report_server.reset();
      m_control.reset();
      m_report_client.reset();
    });
  }
  if (m_traffic_thread) {
    m_traffic_thread->RunAndWait([this] {
      m_readiness.reset();
      m_metrics_server.reset();
      m_traffic.reset();
    });
    m_traffic_thread->Stop();
  }
  m_logger.Flush();
}

}  // namespace zinnia
