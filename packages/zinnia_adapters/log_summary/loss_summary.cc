#include "zinnia_adapters/log_summary/loss_summary.h"

#include <fmt/format.h>

#include <cmath>
#include <iterator>

#include "zinnia_adapters/log_summary/log_line.h"

namespace zinnia {
namespace {

constexpr std::array<std::string_view, kLossCauses> kNames = {
    "served",           "late_first_event", "late_gap", "no_room", "server_limit",
    "no_configuration", "refused",          "cut_off",  "failed",  "caller_gone"};

constexpr double kMillisecondsPerSecond = 1'000.0;

std::size_t IndexOf(LossCause cause) {
  return static_cast<std::size_t>(cause);
}

LossCause CauseOfRefusal(const LogLine& refused) {
  const std::string kind = refused.Field("kind");
  if (kind == "overloaded") {
    return refused.Field("at_limit") == "yes" ? LossCause::kServerLimit : LossCause::kNoRoom;
  }
  if (kind == "store_unavailable") {
    return LossCause::kNoConfiguration;
  }
  return refused.Field("was_run") == "unknown" ? LossCause::kFailed : LossCause::kRefused;
}

}  // namespace

std::string_view NameOf(LossCause cause) {
  return kNames[IndexOf(cause)];
}

void LossSummary::AddLine(std::string_view text) {
  const auto line = LogLine::Parse(text);
  if (!line) {
    return;
  }
  if (line->Event() == "request_refused") {
    m_refusals[line->Field("request")] = CauseOfRefusal(*line);
  } else if (line->Event() == "request_ended") {
    const double began = line->Time() - line->Number("ms") / kMillisecondsPerSecond;
    const auto span = static_cast<std::int64_t>(std::floor(began / kSpan.count()));
    ++m_rows[span][IndexOf(CauseOf(*line))];
  }
}

LossCause LossSummary::CauseOf(const LogLine& ended) {
  const auto refusal = m_refusals.extract(ended.Field("request"));
  const std::string outcome = ended.Field("outcome");
  if (outcome == "refused") {
    return refusal.empty() ? LossCause::kRefused : refusal.mapped();
  }
  if (outcome == "caller_gone") {
    return LossCause::kCallerGone;
  }
  if (outcome == "streamed") {
    if (ended.Number("first_event_ms") > static_cast<double>(m_objectives.first_event.count())) {
      return LossCause::kLateFirstEvent;
    }
    const auto gap = static_cast<double>(m_objectives.event_gap.count());
    return ended.Number("longest_gap_ms") > gap ? LossCause::kLateGap : LossCause::kServed;
  }
  if (outcome.starts_with("status_2")) {
    return LossCause::kServed;
  }
  return outcome.starts_with("status_") ? LossCause::kFailed : LossCause::kCutOff;
}

std::uint64_t LossSummary::Count(LossCause cause) const {
  std::uint64_t count = 0;
  for (const auto& [span, row] : m_rows) {
    count += row[IndexOf(cause)];
  }
  return count;
}

std::string LossSummary::Table() const {
  std::string table = "from_second";
  for (const std::string_view name : kNames) {
    fmt::format_to(std::back_inserter(table), " {:>{}}", name, name.size());
  }
  table += '\n';
  const std::int64_t first = m_rows.empty() ? 0 : m_rows.begin()->first;
  for (const auto& [span, row] : m_rows) {
    fmt::format_to(std::back_inserter(table), "{:>11}", (span - first) * kSpan.count());
    for (std::size_t cause = 0; cause < kLossCauses; ++cause) {
      fmt::format_to(std::back_inserter(table), " {:>{}}", row[cause], kNames[cause].size());
    }
    table += '\n';
  }
  return table;
}

}  // namespace zinnia
