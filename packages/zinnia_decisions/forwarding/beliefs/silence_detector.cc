#include "zinnia_decisions/forwarding/beliefs/silence_detector.h"

#include <algorithm>
#include <map>

namespace zinnia {
namespace {

/** The shortest silence that counts; a pass of a loaded stage takes tens of milliseconds. */
constexpr Duration kLeastSilence = std::chrono::milliseconds(70);

/** The silence must also be this many times the usual gap: under load passes grow longer. */
constexpr double kLeastGaps = 1.5;

/** So many events must have been due and not come. */
constexpr double kMissedEvents = 5.0;

/** A single stream is judged by its engine's report instead. */
constexpr int kLeastStreams = 2;

/** What passes through one server. */
struct Passage {
  const PathPart* part = nullptr;
  TimePoint newest_event_at{};
  double events_per_ms = 0.0;
  int streams = 0;
};

}  // namespace

std::vector<PathPart> SilenceDetector::Suspects(const std::vector<StreamProgress>& streams,
                                                TimePoint now) {
  std::map<BackendServerName, Passage> passages;
  for (const StreamProgress& stream : streams) {
    const std::chrono::duration<double, std::milli> gap = stream.mean_interval;
    for (const PathPart& part : *stream.path) {
      Passage& passage = passages[part.server];
      passage.part = &part;
      passage.newest_event_at = std::max(passage.newest_event_at, stream.last_event_at);
      passage.events_per_ms += gap.count() > 0 ? 1.0 / gap.count() : 0.0;
      ++passage.streams;
    }
  }
  std::vector<PathPart> suspects;
  for (const auto& [server, passage] : passages) {
    const Duration silence = now - passage.newest_event_at;
    const std::chrono::duration<double, std::milli> silent_ms = silence;
    const double mean_gap_ms =
        passage.events_per_ms > 0 ? passage.streams / passage.events_per_ms : 0.0;
    if (passage.streams >= kLeastStreams && silence >= kLeastSilence &&
        silent_ms.count() >= kLeastGaps * mean_gap_ms &&
        silent_ms.count() * passage.events_per_ms >= kMissedEvents) {
      suspects.push_back(*passage.part);
    }
  }
  return suspects;
}

bool SilenceDetector::OtherStreamsActive(const std::vector<StreamProgress>& streams,
                                         const std::vector<PathPart>& suspects,
                                         TimePoint now) {
  const auto is_suspect = [&](const PathPart& part) {
    return std::any_of(suspects.begin(), suspects.end(),
                       [&](const PathPart& suspect) { return suspect.server == part.server; });
  };
  return std::any_of(streams.begin(), streams.end(), [&](const StreamProgress& stream) {
    return now - stream.last_event_at < kLeastSilence &&
           std::none_of(stream.path->begin(), stream.path->end(), is_suspect);
  });
}

}  // namespace zinnia
