#include "prefix_cache.h"

#include <boost/json.hpp>

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia::standins {

namespace {

constexpr std::size_t kLargestEvents = 4096;

}  // namespace

PrefixCache::PrefixCache(std::size_t largest_blocks, std::chrono::milliseconds event_lag)
    : m_largest_blocks(largest_blocks), m_event_lag(event_lag) {}

std::size_t PrefixCache::Use(const std::vector<std::string_view>& words) {
  std::string text;
  std::size_t known = 0;
  for (std::size_t index = 0; index < words.size(); ++index) {
    text.append(index == 0 ? "" : " ").append(words[index]);
    if ((index + 1) % kBlockWords != 0) {
      continue;
    }
    const std::string prefix = Fingerprint::Of(text).ToHex();
    const auto found = m_blocks.find(prefix);
    if (found != m_blocks.end()) {
      m_recent.splice(m_recent.begin(), m_recent, found->second);
      known = index + 1;
      continue;
    }
    m_recent.push_front(prefix);
    m_blocks[prefix] = m_recent.begin();
    Publish(true, prefix);
  }
  while (m_blocks.size() > m_largest_blocks) {
    Publish(false, m_recent.back());
    m_blocks.erase(m_recent.back());
    m_recent.pop_back();
  }
  return known;
}

std::string PrefixCache::EventsAfter(std::uint64_t after) const {
  const TimePoint newest = std::chrono::steady_clock::now() - m_event_lag;
  boost::json::array events;
  std::uint64_t next = after;
  for (const Event& event : m_events) {
    if (event.sequence > after && event.at <= newest) {
      events.push_back({{"sequence", event.sequence},
                        {"kind", event.stored ? "stored" : "evicted"},
                        {"prefix", event.prefix}});
      next = event.sequence;
    }
  }
  return boost::json::serialize(boost::json::object{{"events", std::move(events)}, {"next", next}});
}

void PrefixCache::Publish(bool stored, const std::string& prefix) {
  if (++m_last_sequence % kGapEvery == 0) {
    return;
  }
  m_events.push_back({m_last_sequence, stored, prefix, std::chrono::steady_clock::now()});
  if (m_events.size() > kLargestEvents) {
    m_events.pop_front();
  }
}

}  // namespace zinnia::standins
