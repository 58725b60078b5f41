#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace zinnia {

/** Records the backend servers to which each prompt prefix was sent recently and which therefore
    probably have it cached. Evicts the prefix recorded longest ago beyond `capacity`, and keeps
    the latest few servers per prefix.

    Servers are identified by the hash of their name.
*/
class PrefixHistory {
 public:
  explicit PrefixHistory(std::size_t capacity) : m_capacity(capacity) {}

  void Record(std::uint64_t prefix, std::uint64_t server);
  bool WasSentTo(std::uint64_t prefix, std::uint64_t server) const;
  std::size_t Size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::uint64_t prefix = 0;
    std::vector<std::uint64_t> servers;
  };

  std::size_t m_capacity;
  std::list<Entry> m_entries;
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_entry_by_prefix;
};

}  // namespace zinnia
