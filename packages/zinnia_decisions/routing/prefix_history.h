#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace zinnia {

/** Remembers which backend servers lately got a prompt with a certain prefix, and so probably hold
    it in their cache. Bounded: the prefix used longest ago is forgotten first, and of each prefix
    only the latest few servers are kept.

    Servers are named by the hash of their name.
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
