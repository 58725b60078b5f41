#pragma once

#include <functional>
#include <vector>

#include "zinnia_decisions/sessions/session_driver.h"

namespace zinnia {

class CallerServer;
class TrafficThread;

/** Lists the sessions of all traffic threads for operators.

    Fill it before the first use; the threads and servers must outlive it.
*/
class SessionRegistry {
 public:
  using Callback = std::function<void(std::vector<SessionStatus>)>;

  void Add(TrafficThread& thread, CallerServer& server);

  /** Asks each thread in turn. The callback runs on the last one, or at once if there is none; post
      from it to wherever the list is wanted. Safe from any thread. */
  void List(Callback callback) const;

 private:
  struct Source {
    TrafficThread* thread = nullptr;
    CallerServer* server = nullptr;
  };

  static void AskFrom(const std::vector<Source>& sources,
                      std::size_t index,
                      std::vector<SessionStatus> gathered,
                      Callback callback);

  std::vector<Source> m_sources;
};

}  // namespace zinnia
