#include "channel_reports.h"

#include <utility>

#include "control_side.h"
#include "zinnia_adapters/engines/http_stage_links.h"
#include "zinnia_decisions/control/instance_control.h"
#include "zinnia_world/fleet/server_rates_report.h"

namespace zinnia {
namespace {

constexpr std::chrono::milliseconds kLoadInterval{100};

}  // namespace

ChannelReports::ChannelReports(const Clock& clock,
                               Post to_control,
                               Post to_traffic,
                               ControlSide& control)
    : m_clock(clock),
      m_to_control(std::move(to_control)),
      m_to_traffic(std::move(to_traffic)),
      m_control(control) {}

void ChannelReports::OnServerCrashed(const BackendServerName& server,
                                     std::uint64_t,
                                     InFlightAtCrash in_flight) {
  m_links->HoldIsolated();
  auto release = [this, alive = std::weak_ptr(m_alive)] {
    if (!alive.expired()) {
      m_links->ReleaseIsolated();
    }
  };
  m_to_control([&control = m_control, server, in_flight = std::move(in_flight), post = m_to_traffic,
                release]() mutable {
    control.Control().ReportServerCrash(server, in_flight, [post, release] { post(release); });
  });
}

void ChannelReports::OnServerSuspect(const BackendServerName& server) {
  m_to_control([this, server] { m_control.LogServer("backend_server_suspect", server); });
}

void ChannelReports::OnServerRecovered(const BackendServerName& server) {
  m_to_control([this, server] { m_control.LogServer("backend_server_recovered", server); });
}

void ChannelReports::OnServerLoad(const BackendServerName& server,
                                  std::uint32_t running,
                                  std::uint32_t queued) {
  TimePoint& told_at = m_load_told_at[server];
  const TimePoint now = m_clock.Now();
  if (told_at != TimePoint{} && now - told_at < kLoadInterval) {
    return;
  }
  told_at = now;
  m_to_control([this, server, running, queued] {
    m_control.Control().ReportServerLoad(server, running, queued);
  });
}

void ChannelReports::OnServerRates(const BackendServerName& server,
                                   const ServerRatesReport& rates) {
  m_to_control([this, server, rates] { m_control.Control().ReportServerRates(server, rates); });
}

void ChannelReports::OnServerLeaving(const BackendServerName& server) {
  m_to_control([this, server] { m_control.Control().ReportServerLeaving(server); });
}

}  // namespace zinnia
