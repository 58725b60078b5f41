#include "zinnia_adapters/callers/exchange_registry.h"

#include <algorithm>
#include <utility>

#include "zinnia_adapters/callers/caller_exchange.h"

namespace zinnia {

void ExchangeRegistry::Add(std::shared_ptr<CallerExchange> exchange) {
  const CallerExchange* key = exchange.get();
  m_exchanges.emplace(key, std::move(exchange));
}

void ExchangeRegistry::Remove(const CallerExchange* exchange) {
  m_exchanges.erase(exchange);
}

std::size_t ExchangeRegistry::CountSessions() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_exchanges, [](const auto& entry) { return entry.second->Session() != nullptr; }));
}

std::vector<SessionStatus> ExchangeRegistry::Sessions() const {
  std::vector<SessionStatus> sessions;
  for (const auto& [key, exchange] : m_exchanges) {
    if (const SessionDriver* session = exchange->Session()) {
      sessions.push_back(session->Status());
    }
  }
  return sessions;
}

std::vector<std::string> ExchangeRegistry::Describe() const {
  std::vector<std::string> lines;
  for (const auto& [key, exchange] : m_exchanges) {
    lines.push_back(exchange->Describe());
  }
  std::ranges::sort(lines);
  return lines;
}

void ExchangeRegistry::LeaveDrainingServers() const {
  for (const auto& exchange : All()) {
    if (SessionDriver* session = exchange->Session()) {
      session->LeaveDrainingServers();
    }
  }
}

std::vector<std::shared_ptr<CallerExchange>> ExchangeRegistry::All() const {
  std::vector<std::shared_ptr<CallerExchange>> all;
  for (const auto& [key, exchange] : m_exchanges) {
    all.push_back(exchange);
  }
  return all;
}

}  // namespace zinnia
