#include "zinnia_decisions/forwarding/observed_state/server_directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_base/logging/logger.h"

namespace zinnia {

const ServerEntry* ServerDirectory::FindEntry(const std::string& registration) const {
  const auto current = m_current.find(registration);
  return current == m_current.end() ? nullptr : &m_servers.at(current->second);
}

void ServerDirectory::Put(ServerEntry entry, std::function<void()> on_changed) {
  const std::string registration = entry.registration;
  CancelPostponed(registration);
  const ServerEntry* known = FindEntry(registration);
  if (known == nullptr || entry.started_at_ms >= known->started_at_ms) {
    ApplyEntry(std::move(entry));
    return;
  }
  m_logger.Log(LogLevel::kInfo, "server_entry_of_earlier_start",
               {{"server", known->name}, {"entry", entry.name}});
  Postpone(registration, kEarlierIncarnationDelay,
           [this, entry = std::move(entry), on_changed = std::move(on_changed)] {
             ApplyEntry(entry);
             on_changed();
           });
}

void ServerDirectory::PutOlderCopy(ServerEntry entry, std::function<void()> on_changed) {
  const std::string registration = entry.registration;
  const ServerEntry* known = FindEntry(registration);
  const bool is_known = known != nullptr && known->name == entry.name;
  if (is_known) {
    KeepLeaving(known->name);
  }
  const bool had_gone = HasGone(entry.name);
  const bool agrees = is_known ? known->layers == entry.layers : !had_gone;
  if (agrees) {
    Put(std::move(entry), std::move(on_changed));
    return;
  }
  m_logger.Log(LogLevel::kInfo, "server_entry_of_older_copy",
               {{"server", entry.name}, {"known", is_known ? "with other layers" : "gone"}});
  Postpone(registration, kOlderCopyDelay,
           [this, entry = std::move(entry), on_changed = std::move(on_changed)] {
             ApplyEntry(entry);
             on_changed();
           });
}

bool ServerDirectory::HasGone(const BackendServerName& name) const {
  return m_ended_incarnations.contains(name) ||
         std::find(m_removed.begin(), m_removed.end(), name) != m_removed.end();
}

/** Holds what the server's entry said, so that no older entry takes it back. */
void ServerDirectory::KeepLeaving(const BackendServerName& name) {
  const ServerEntry& server = m_servers.at(name);
  if (server.draining && !m_reported_leaving.contains(name)) {
    RememberLeaving(name);
  }
}

void ServerDirectory::RememberLeaving(const BackendServerName& name) {
  if (HasAnnouncedLeaving(name)) {
    return;
  }
  if (m_announced_leaving.size() >= kMaxAnnouncements) {
    m_announced_leaving.pop_front();
  }
  m_announced_leaving.push_back(name);
}

void ServerDirectory::ApplyEntry(ServerEntry entry) {
  entry.draining = entry.draining || HasAnnouncedLeaving(entry.name);
  const ServerEntry* known = FindEntry(entry.registration);
  if (known != nullptr && known->name != entry.name) {
    m_logger.Log(LogLevel::kInfo, "server_started_again",
                 {{"server", entry.name}, {"before", known->name}});
    EndIncarnation(known->name);
    known = nullptr;
  }
  if (known == nullptr || known->draining != entry.draining || known->layers != entry.layers) {
    m_logger.Log(LogLevel::kInfo, known == nullptr ? "server_registered" : "server_changed",
                 {{"server", entry.name},
                  {"service", entry.service},
                  {"failure_domain", entry.failure_domain},
                  {"draining", entry.draining ? "yes" : "no"},
                  {"layers", fmt::format("{}-{}", entry.layers.first, entry.layers.end)}});
  }
  m_current[entry.registration] = entry.name;
  std::erase(m_removed, entry.name);
  m_ended_incarnations.erase(entry.name);
  m_reported_leaving.erase(entry.name);
  const BackendServerName name = entry.name;
  m_servers[name] = std::move(entry);
}

void ServerDirectory::EndIncarnation(const BackendServerName& incarnation) {
  if (m_ended_incarnations.size() >= kMaxEndedIncarnations) {
    m_ended_incarnations.erase(m_ended_incarnations.begin());
  }
  m_ended_incarnations.insert(incarnation);
  m_reported_leaving.erase(incarnation);
  m_servers.erase(BackendServerName(incarnation));
}

bool ServerDirectory::OnServerStateReport(const ServerStateReport& report,
                                          std::function<void()> on_changed) {
  if (report.leaving && report.announced) {
    return OnLeavingAnnounced(report.server);
  }
  const auto server = m_servers.find(report.server);
  if (server == m_servers.end()) {
    return false;
  }
  if (report.leaving) {
    return OnLeavingReport(server->second, std::move(on_changed));
  }
  if (server->second.layers == report.layers) {
    return false;
  }
  server->second.layers = report.layers;
  m_logger.Log(LogLevel::kInfo, "server_layers_heard",
               {{"server", report.server},
                {"layers", fmt::format("{}-{}", report.layers.first, report.layers.end)}});
  return true;
}

bool ServerDirectory::HasAnnouncedLeaving(const BackendServerName& name) const {
  return std::find(m_announced_leaving.begin(), m_announced_leaving.end(), name) !=
         m_announced_leaving.end();
}

bool ServerDirectory::OnLeavingAnnounced(const BackendServerName& name) {
  if (HasAnnouncedLeaving(name) || m_ended_incarnations.contains(name)) {
    return false;
  }
  RememberLeaving(name);
  m_reported_leaving.erase(name);
  m_logger.Log(LogLevel::kInfo, "server_leaving_announced", {{"server", name}});
  const auto server = m_servers.find(name);
  if (server != m_servers.end()) {
    server->second.draining = true;
  }
  return true;
}

bool ServerDirectory::OnLeavingReport(ServerEntry& server, std::function<void()> on_changed) {
  const bool is_announced = server.draining && !m_reported_leaving.contains(server.name);
  if (is_announced) {
    return false;
  }
  const bool is_change = !server.draining;
  if (is_change) {
    server.draining = true;
    m_logger.Log(LogLevel::kInfo, "server_leaving_heard", {{"server", server.name}});
  }
  m_reported_leaving[server.name] = m_scheduler.ScheduleAfter(
      kLeavingReportLifetime, [this, name = server.name, on_changed = std::move(on_changed)] {
        // Keeps the timer alive until this callback returns, as it owns the captures.
        const auto timer = m_reported_leaving.extract(name);
        const auto found = m_servers.find(name);
        if (found != m_servers.end()) {
          found->second.draining = false;
          on_changed();
        }
      });
  return is_change;
}

void ServerDirectory::Remove(const std::string& registration) {
  CancelPostponed(registration);
  if (FindEntry(registration) != nullptr) {
    RemoveEntry(registration, "removed");
  }
}

void ServerDirectory::RemoveUnlessBack(const std::string& registration,
                                       std::function<void()> on_changed) {
  CancelPostponed(registration);
  if (FindEntry(registration) != nullptr) {
    PostponeRemoval(registration, std::move(on_changed));
    m_removed_unless_back.insert(registration);
  }
}

void ServerDirectory::RemoveForgotten(const std::string& registration,
                                      std::function<void()> on_changed) {
  CancelPostponed(registration);
  if (FindEntry(registration) != nullptr) {
    PostponeRemoval(registration, std::move(on_changed));
  }
}

void ServerDirectory::PostponeRemoval(const std::string& registration,
                                      std::function<void()> on_changed) {
  KeepLeaving(m_current.at(registration));
  Postpone(registration, kRemovalGracePeriod,
           [this, registration, on_changed = std::move(on_changed)] {
             RemoveEntry(registration, "expired during a store outage and did not return");
             on_changed();
           });
}

bool ServerDirectory::OnStoreSettled() {
  const std::set<std::string> registrations = std::exchange(m_removed_unless_back, {});
  for (const std::string& registration : registrations) {
    CancelPostponed(registration);
    RemoveEntry(registration, "did not return after a store outage");
  }
  return !registrations.empty();
}

void ServerDirectory::CancelPostponed(const std::string& registration) {
  m_postponed.erase(registration);
  m_removed_unless_back.erase(registration);
}

void ServerDirectory::Invalidate(const std::string& registration) {
  CancelPostponed(registration);
  if (FindEntry(registration) != nullptr) {
    RemoveEntry(registration, "entry cannot be parsed");
  }
}

void ServerDirectory::Postpone(const std::string& registration,
                               Duration delay,
                               std::function<void()> action) {
  CancelPostponed(registration);
  m_postponed[registration] =
      m_scheduler.ScheduleAfter(delay, [this, registration, action = std::move(action)] {
        // Keeps the timer alive until this callback returns, as it owns the captures.
        const auto timer = m_postponed.extract(registration);
        m_removed_unless_back.erase(registration);
        action();
      });
}

void ServerDirectory::RemoveEntry(const std::string& registration, const char* reason) {
  const BackendServerName name = m_current.at(registration);
  m_logger.Log(LogLevel::kInfo, "server_gone", {{"server", name}, {"reason", reason}});
  KeepLeaving(name);
  m_reported_leaving.erase(name);
  m_servers.erase(name);
  m_current.erase(registration);
  if (m_removed.size() >= kMaxRemoved) {
    m_removed.pop_front();
  }
  m_removed.push_back(name);
}

}  // namespace zinnia
