#include "zinnia_adapters/callers/session_registry.h"

#include <iterator>
#include <utility>

#include "zinnia_adapters/callers/caller_server.h"
#include "zinnia_adapters/threads/traffic_thread.h"

namespace zinnia {

void SessionRegistry::Add(TrafficThread& thread, CallerServer& server) {
  m_sources.push_back({&thread, &server});
}

void SessionRegistry::List(Callback callback) const {
  AskFrom(m_sources, 0, {}, std::move(callback));
}

void SessionRegistry::AskFrom(const std::vector<Source>& sources,
                              std::size_t index,
                              std::vector<SessionStatus> gathered,
                              Callback callback) {
  if (index == sources.size()) {
    callback(std::move(gathered));
    return;
  }
  sources[index].thread->Post(
      [sources, index, gathered = std::move(gathered), callback = std::move(callback)]() mutable {
        std::vector<SessionStatus> more = sources[index].server->Sessions();
        std::move(more.begin(), more.end(), std::back_inserter(gathered));
        AskFrom(sources, index + 1, std::move(gathered), std::move(callback));
      });
}

}  // namespace zinnia
