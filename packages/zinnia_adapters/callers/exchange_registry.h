#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "zinnia_decisions/sessions/session_driver.h"

namespace zinnia {

class CallerExchange;

/** The exchanges of one traffic thread that are not finished. Keeps them alive: a service call that
    was dispatched goes on after its caller left, so that its outcome is recorded. */
class ExchangeRegistry {
 public:
  void Add(std::shared_ptr<CallerExchange> exchange);
  void Remove(const CallerExchange* exchange);

  std::size_t Count() const { return m_exchanges.size(); }
  std::size_t CountSessions() const;
  std::vector<SessionStatus> Sessions() const;
  std::vector<std::string> Describe() const;

  /** Moves sessions off servers that are leaving. @see SessionDriver::LeaveDrainingServers */
  void LeaveDrainingServers() const;

 private:
  std::vector<std::shared_ptr<CallerExchange>> All() const;

  std::unordered_map<const CallerExchange*, std::shared_ptr<CallerExchange>> m_exchanges;
};

}  // namespace zinnia
