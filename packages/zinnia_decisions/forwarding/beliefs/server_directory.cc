#include "zinnia_decisions/forwarding/beliefs/server_directory.h"

#include <fmt/format.h>

#include <utility>

#include "zinnia_base/logging/logger.h"

namespace zinnia {

const ServerEntry* ServerDirectory::Known(const std::string& registration) const {
  const auto present = m_present.find(registration);
  return present == m_present.end() ? nullptr : &m_servers.at(present->second);
}

void ServerDirectory::Put(ServerEntry entry, std::function<void()> changed) {
  const std::string registration = entry.registration;
  m_postponed.erase(registration);
  const ServerEntry* known = Known(registration);
  if (known == nullptr || entry.started_at_ms >= known->started_at_ms) {
    TakeIn(std::move(entry));
    return;
  }
  m_logger.Log(LogLevel::kInfo, "server_entry_of_earlier_start",
               {{"server", known->name}, {"entry", entry.name}});
  Postpone(registration, kEarlierStartBelieved,
           [this, entry = std::move(entry), changed = std::move(changed)] {
             TakeIn(entry);
             changed();
           });
}

void ServerDirectory::TakeIn(ServerEntry entry) {
  const ServerEntry* known = Known(entry.registration);
  if (known != nullptr && known->name != entry.name) {
    m_logger.Log(LogLevel::kInfo, "server_started_again",
                 {{"server", entry.name}, {"before", known->name}});
    End(known->name);
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
  m_present[entry.registration] = entry.name;
  m_ended.erase(entry.name);
  m_heard_leaving.erase(entry.name);
  const BackendServerName name = entry.name;
  m_servers[name] = std::move(entry);
}

void ServerDirectory::End(const BackendServerName& start) {
  if (m_ended.size() >= kMostEnded) {
    m_ended.erase(m_ended.begin());
  }
  m_ended.insert(start);
  m_heard_leaving.erase(start);
  m_servers.erase(BackendServerName(start));
}

bool ServerDirectory::NoteServerNews(const ServerStateReport& news, std::function<void()> changed) {
  const auto server = m_servers.find(news.server);
  if (server == m_servers.end()) {
    return false;
  }
  if (news.leaving) {
    return NoteLeaving(server->second, std::move(changed));
  }
  if (server->second.layers == news.layers) {
    return false;
  }
  server->second.layers = news.layers;
  m_logger.Log(LogLevel::kInfo, "server_layers_heard",
               {{"server", news.server},
                {"layers", fmt::format("{}-{}", news.layers.first, news.layers.end)}});
  return true;
}

bool ServerDirectory::NoteLeaving(ServerEntry& server, std::function<void()> changed) {
  const bool is_announced = server.draining && !m_heard_leaving.contains(server.name);
  if (is_announced) {
    return false;
  }
  const bool is_news = !server.draining;
  if (is_news) {
    server.draining = true;
    m_logger.Log(LogLevel::kInfo, "server_leaving_heard", {{"server", server.name}});
  }
  m_heard_leaving[server.name] = m_scheduler.ScheduleAfter(
      kHeardLeavingBelieved, [this, name = server.name, changed = std::move(changed)] {
        // Kept until it has run: erasing the timer destroys what the call holds.
        const auto timer = m_heard_leaving.extract(name);
        const auto found = m_servers.find(name);
        if (found != m_servers.end()) {
          found->second.draining = false;
          changed();
        }
      });
  return is_news;
}

void ServerDirectory::Remove(const std::string& registration,
                             bool in_doubt,
                             std::function<void()> changed) {
  m_postponed.erase(registration);
  if (Known(registration) == nullptr) {
    return;
  }
  if (!in_doubt) {
    Drop(registration, "removed");
    return;
  }
  Postpone(registration, kDoubtAfterFailure, [this, registration, changed = std::move(changed)] {
    Drop(registration, "lapsed in an outage and did not return");
    changed();
  });
}

void ServerDirectory::Invalidate(const std::string& registration) {
  m_postponed.erase(registration);
  if (Known(registration) != nullptr) {
    Drop(registration, "its entry cannot be read");
  }
}

void ServerDirectory::Postpone(const std::string& registration,
                               Duration delay,
                               std::function<void()> act) {
  m_postponed[registration] =
      m_scheduler.ScheduleAfter(delay, [this, registration, act = std::move(act)] {
        // Kept until it has run: erasing the timer destroys what the call holds.
        const auto timer = m_postponed.extract(registration);
        act();
      });
}

void ServerDirectory::Drop(const std::string& registration, const char* reason) {
  const BackendServerName name = m_present.at(registration);
  m_logger.Log(LogLevel::kInfo, "server_gone", {{"server", name}, {"reason", reason}});
  m_heard_leaving.erase(name);
  m_servers.erase(name);
  m_present.erase(registration);
}

}  // namespace zinnia
