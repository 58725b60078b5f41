#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace zinnia {

class LogLine;

/** What became of a request, as the instance that took it saw it. */
enum class LossCause {
  kServed,
  kLateFirstEvent,
  kLateGap,
  kNoRoom,
  kServerLimit,
  kNoConfiguration,
  kRefused,
  kCutOff,
  kFailed,
  kCallerGone,
};

inline constexpr std::size_t kLossCauses = 10;

/** "no_room" and so on, as the table's head has them. */
std::string_view NameOf(LossCause cause);

/** From when on an answer counts as late. Logs do not say it: it is the routes' to set. */
struct LossObjectives {
  std::chrono::milliseconds first_event{500};
  std::chrono::milliseconds event_gap{200};
};

/** Says from the logs of instances when requests were lost, and to which cause.

    Feed it the lines of all instances in any order, then print the table: a row for each span of
   time in which requests came. Lines that a log dropped under load are missing here too; a span
   whose requests are fewer than the callers' own count shows it.
*/
class LossSummary {
 public:
  /** Length of a row's span. Losses show for seconds, and a shorter one holds too few requests. */
  static constexpr std::chrono::seconds kSpan{2};

  explicit LossSummary(LossObjectives objectives) : m_objectives(objectives) {}

  /** Ignores text that is no line of zinniad. */
  void AddLine(std::string_view text);

  std::string Table() const;

  std::uint64_t Count(LossCause cause) const;

 private:
  using Row = std::array<std::uint64_t, kLossCauses>;

  LossCause CauseOf(const LogLine& ended);

  const LossObjectives m_objectives;
  std::map<std::int64_t, Row> m_rows;

  /** By request, why it was refused; until the line of its end. */
  std::map<std::string, LossCause> m_refusals;
};

}  // namespace zinnia
