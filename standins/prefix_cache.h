#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinnia::standins {

/** Remembers prompt prefixes in blocks of kBlockWords words, the least recently used one goes when
    the memory is full. What happened is published late, and every kGapEvery-th event never. */
class PrefixCache {
 public:
  static constexpr std::size_t kBlockWords = 16;
  static constexpr std::uint64_t kGapEvery = 5;

  PrefixCache(std::size_t largest_blocks, std::chrono::milliseconds event_lag);

  /** Stores the prefixes of a prompt and gives the number of words that were there before. */
  std::size_t Use(const std::vector<std::string_view>& words);

  /** The published events after a sequence number, as JSON. */
  std::string EventsAfter(std::uint64_t after) const;

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Event {
    std::uint64_t sequence = 0;
    bool stored = false;
    std::string prefix;
    TimePoint at;
  };

  void Publish(bool stored, const std::string& prefix);

  std::size_t m_largest_blocks;
  std::chrono::milliseconds m_event_lag;
  std::list<std::string> m_recent;  // most recently used first
  std::unordered_map<std::string, std::list<std::string>::iterator> m_blocks;
  std::deque<Event> m_events;
  std::uint64_t m_last_sequence = 0;
};

}  // namespace zinnia::standins
