#include "zinnia_decisions/routing/prefix_history.h"

#include <algorithm>

namespace zinnia {
namespace {

constexpr std::size_t kMaxServersPerPrefix = 16;

}  // namespace

void PrefixHistory::Record(std::uint64_t prefix, std::uint64_t server) {
  const auto known = m_entry_by_prefix.find(prefix);
  if (known == m_entry_by_prefix.end()) {
    m_entries.push_front({prefix, {}});
    m_entry_by_prefix[prefix] = m_entries.begin();
  } else {
    m_entries.splice(m_entries.begin(), m_entries, known->second);
  }
  std::vector<std::uint64_t>& servers = m_entries.front().servers;
  std::erase(servers, server);
  servers.push_back(server);
  if (servers.size() > kMaxServersPerPrefix) {
    servers.erase(servers.begin());
  }
  if (m_entries.size() > m_capacity) {
    m_entry_by_prefix.erase(m_entries.back().prefix);
    m_entries.pop_back();
  }
}

bool PrefixHistory::WasSentTo(std::uint64_t prefix, std::uint64_t server) const {
  const auto known = m_entry_by_prefix.find(prefix);
  return known != m_entry_by_prefix.end() && std::ranges::count(known->second->servers, server) > 0;
}

}  // namespace zinnia
