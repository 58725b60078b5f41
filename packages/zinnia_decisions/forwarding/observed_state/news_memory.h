#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** Tells news from repetitions of it.

    Instances pass news on for a short time, with its age, which does not include the time on the
    way. One that forgot the news when it stops passing it on would take the next repetition for
    news and pass that on, and so would all others without end. So news is remembered for much
    longer than it is passed on.

    Not thread-safe. */
template <typename Key>
class NewsMemory {
 public:
  explicit NewsMemory(const Clock& clock) : m_clock(clock) {}

  /** Records what happened to `key`. Returns whether that is new. */
  bool Learn(const Key& key, TimePoint happened_at) {
    const TimePoint now = m_clock.Now();
    const auto [known, is_unknown] = m_entries.try_emplace(key, Entry{happened_at, now});
    if (!is_unknown && happened_at <= known->second.happened_at + kSameEvent) {
      return false;
    }
    known->second = {happened_at, now};
    m_order.push_back({key, now});
    Forget(now);
    return true;
  }

 private:
  struct Entry {
    TimePoint happened_at{};
    TimePoint heard_at{};
  };
  struct Heard {
    Key key;
    TimePoint at{};
  };

  /** Must be long beside the time that a report may take between busy instances. */
  static constexpr Duration kRemembered = std::chrono::seconds(30);

  /** What happened to one key within this time is the same event, whose age the senders state
      differently. */
  static constexpr Duration kSameEvent = std::chrono::seconds(2);

  static constexpr std::size_t kMaxRemembered = 16'384;

  void Forget(TimePoint now) {
    while (now - m_order.front().at >= kRemembered || m_order.size() > kMaxRemembered) {
      const auto entry = m_entries.find(m_order.front().key);
      const bool was_heard_since =
          entry == m_entries.end() || entry->second.heard_at != m_order.front().at;
      if (!was_heard_since) {
        m_entries.erase(entry);
      }
      m_order.pop_front();
    }
  }

  const Clock& m_clock;
  std::map<Key, Entry> m_entries;

  /** In the order in which they were heard. */
  std::deque<Heard> m_order;
};

}  // namespace zinnia
