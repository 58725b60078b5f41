#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia_base/time/clock.h"

namespace zinnia {

/** What became of a stream that lost a server, or of its move. */
enum class MoveEvent { kTried, kRefused, kRetried, kLeft };

std::string_view NameOf(MoveEvent event);

/** Counts moves by class for a log line that is due at most once per interval. */
class MoveCounts {
 public:
  /** Minimum interval between log lines. A loss concerns hundreds of streams within 100 ms. */
  static constexpr Duration kLogInterval = std::chrono::seconds(1);

  explicit MoveCounts(const Clock& clock) : m_clock(clock) {}

  void Add(MoveEvent event, std::size_t urgency_class);

  /** Text of the counts by class since the last line, if one is due: "0: tried 5, refused 1, ...".
   */
  std::optional<std::string> TakeLine();

 private:
  static constexpr std::size_t kEvents = 4;

  const Clock& m_clock;
  std::optional<TimePoint> m_first_at;
  std::vector<std::array<std::uint64_t, kEvents>> m_counts;
};

}  // namespace zinnia
