#include "zinnia_decisions/forwarding/costs/server_work.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace zinnia {
namespace {

/** A point of a cumulative distribution. */
struct Point {
  double tokens = 0.0;
  double share = 0.0;
};

constexpr double kShareBelowLow = 0.1;
constexpr double kShareBelowMean = 0.5;
constexpr double kShareBelowP90 = 0.9;

/** Returns the probability that an answer ends within `tokens` more tokens, interpolated between
    the 90th percentile, the mean and the point as far below the mean. The ends are as far from
    these. If all are equal, as for a caller whose hints are exact, the answer ends exactly there.
 */
double ShareEndedWithin(const RemainingTokens& remaining, double tokens) {
  const double p90 = std::max(remaining.p90, remaining.mean);
  const double spread = p90 - remaining.mean;
  const double low = remaining.mean - spread;
  const std::array<Point, 5> points = {{{std::max(low - spread, 0.0), 0.0},
                                        {std::max(low, 0.0), low > 0.0 ? kShareBelowLow : 0.0},
                                        {remaining.mean, kShareBelowMean},
                                        {p90, kShareBelowP90},
                                        {p90 + spread, 1.0}}};
  const auto next = std::find_if(points.begin(), points.end(),
                                 [&](const Point& point) { return point.tokens > tokens; });
  if (next == points.begin()) {
    return 0.0;
  }
  if (next == points.end()) {
    return 1.0;
  }
  const Point& before = *std::prev(next);
  return before.share +
         (next->share - before.share) * (tokens - before.tokens) / (next->tokens - before.tokens);
}

}  // namespace

ServerWork::RequestId ServerWork::Begin(RunningRequest request) {
  m_requests[++m_last_id].request = std::move(request);
  return m_last_id;
}

void ServerWork::OnTokens(RequestId id, double tokens) {
  const auto found = m_requests.find(id);
  if (found == m_requests.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.events.OnEvent(m_clock.Now());
  progress.event_count += 1;
  progress.sent_tokens += tokens;
}

void ServerWork::SetPath(RequestId id, LayerPath path) {
  const auto found = m_requests.find(id);
  if (found != m_requests.end()) {
    found->second.request.path = std::move(path);
  }
}

double ServerWork::TokensWithin(const Progress& progress, Duration horizon) const {
  if (!progress.events.HasBegun()) {
    return 0.0;
  }
  const Duration mean = progress.events.MeanInterval();
  const Duration interval =
      mean > Duration::zero() ? mean : progress.request.expected_event_interval;
  if (interval <= Duration::zero()) {
    return 0.0;
  }
  // An overdue event is expected at once, but a silent stream has not advanced further.
  const Duration since_event =
      std::clamp(m_clock.Now() - progress.events.LastEventAt(), Duration::zero(), interval);
  const auto events = static_cast<double>((since_event + horizon) / interval);
  return events * progress.sent_tokens / progress.event_count;
}

std::map<BackendServerName, ServerMemory> ServerWork::Memory() const {
  std::map<BackendServerName, ServerMemory> memory;
  for (const auto& [id, progress] : m_requests) {
    const RunningRequest& request = progress.request;
    const RemainingTokens remaining = m_lengths.Expect(request.key, progress.sent_tokens);
    std::array<double, ServerMemory::kHorizons.size()> shares{};
    for (std::size_t index = 0; index < shares.size(); ++index) {
      const double tokens = TokensWithin(progress, ServerMemory::kHorizons[index]);
      // Requests end with an event, so nothing is released before the next one.
      shares[index] = tokens > 0.0 ? ShareEndedWithin(remaining, tokens) : 0.0;
    }
    for (const PathPart& part : request.path) {
      ServerMemory& server = memory[part.server];
      const double held = (request.prompt_tokens + progress.sent_tokens) * part.layers.Count();
      server.held += held;
      for (std::size_t index = 0; index < shares.size(); ++index) {
        server.released[index] += held * shares[index];
      }
    }
  }
  return memory;
}

}  // namespace zinnia
