#include "zinnia_decisions/forwarding/server_directory.h"

#include <fmt/format.h>

#include <utility>

#include "zinnia_base/logging/logger.h"

namespace zinnia {

void ServerDirectory::Put(ServerEntry entry) {
  m_doubtful.erase(entry.name);
  ServerEntry& known = m_servers[entry.name];
  const bool is_new = known.name.empty();
  if (is_new || known.draining != entry.draining || known.layers != entry.layers) {
    m_logger.Log(
        LogLevel::kInfo, is_new ? "server_registered" : "server_changed",
        {{"server", entry.name},
         {"service", entry.service},
         {"failure_domain", entry.failure_domain},
         {"draining", entry.draining ? "yes" : "no"},
         {"layers", std::to_string(entry.layers.first) + "-" + std::to_string(entry.layers.end)}});
  }
  known = std::move(entry);
}

bool ServerDirectory::NoteLayers(const LayersNews& news) {
  const auto server = m_servers.find(news.server);
  if (server == m_servers.end() || server->second.layers == news.layers) {
    return false;
  }
  server->second.layers = news.layers;
  m_logger.Log(LogLevel::kInfo, "server_layers_heard",
               {{"server", news.server},
                {"layers", fmt::format("{}-{}", news.layers.first, news.layers.end)}});
  return true;
}

void ServerDirectory::Remove(const BackendServerName& server,
                             bool in_doubt,
                             std::function<void()> changed) {
  if (!m_servers.contains(server)) {
    return;
  }
  if (!in_doubt) {
    Drop(server, "removed");
    return;
  }
  m_doubtful[server] =
      m_scheduler.ScheduleAfter(kDoubtAfterFailure, [this, server, changed = std::move(changed)] {
        // The call erases its own timer's entry, so what is still needed then is copied.
        const auto notify = changed;
        Drop(BackendServerName(server), "lapsed in an outage and did not return");
        notify();
      });
}

void ServerDirectory::Drop(const BackendServerName& server, const char* reason) {
  m_logger.Log(LogLevel::kInfo, "server_gone", {{"server", server}, {"reason", reason}});
  m_servers.erase(server);
  m_doubtful.erase(server);
}

}  // namespace zinnia
