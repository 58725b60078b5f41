#include "zinnia_decisions/forwarding/observed_state/silence_detector.h"

#include <algorithm>
#include <map>

namespace zinnia {
namespace {

/** Longer than one pass of a loaded stage, which takes tens of milliseconds. */
constexpr Duration kMinSilence = std::chrono::milliseconds(70);

/** Minimum silence as a multiple of the mean event interval, since passes are slower under load. */
constexpr double kMinIntervals = 1.5;

/** Minimum number of events that were due and have not arrived. */
constexpr double kMinMissedEvents = 5.0;

/** The stall of a single stream is detected from its engine's report instead. */
constexpr int kMinStreams = 2;

/** Minimum time between the last event of the suspects and a later one of another stream. If the
    instance's own link stands still, all streams become silent within one interval. */
constexpr Duration kMinLead = kMinSilence / 2;

/** Combined activity of the streams that pass through one server. */
struct ServerActivity {
  const PathPart* part = nullptr;
  TimePoint newest_event_at{};
  double events_per_ms = 0.0;
  int streams = 0;
};

}  // namespace

std::vector<PathPart> SilenceDetector::FindSuspects(const std::vector<StreamProgress>& streams,
                                                    TimePoint now) {
  std::map<BackendServerName, ServerActivity> activities;
  for (const StreamProgress& stream : streams) {
    const std::chrono::duration<double, std::milli> interval = stream.mean_interval;
    for (const PathPart& part : *stream.path) {
      ServerActivity& activity = activities[part.server];
      activity.part = &part;
      activity.newest_event_at = std::max(activity.newest_event_at, stream.last_event_at);
      activity.events_per_ms += interval.count() > 0 ? 1.0 / interval.count() : 0.0;
      ++activity.streams;
    }
  }
  std::vector<PathPart> suspects;
  for (const auto& [server, activity] : activities) {
    const Duration silence = now - activity.newest_event_at;
    const std::chrono::duration<double, std::milli> silent_ms = silence;
    const double mean_interval_ms =
        activity.events_per_ms > 0 ? activity.streams / activity.events_per_ms : 0.0;
    if (activity.streams >= kMinStreams && silence >= kMinSilence &&
        silent_ms.count() >= kMinIntervals * mean_interval_ms &&
        silent_ms.count() * activity.events_per_ms >= kMinMissedEvents) {
      suspects.push_back(*activity.part);
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
  const auto passes_suspect = [&](const StreamProgress& stream) {
    return std::any_of(stream.path->begin(), stream.path->end(), is_suspect);
  };
  TimePoint suspects_event_at{};
  for (const StreamProgress& stream : streams) {
    if (passes_suspect(stream)) {
      suspects_event_at = std::max(suspects_event_at, stream.last_event_at);
    }
  }
  return std::any_of(streams.begin(), streams.end(), [&](const StreamProgress& stream) {
    return !passes_suspect(stream) && now - stream.last_event_at < kMinSilence &&
           stream.last_event_at - suspects_event_at >= kMinLead;
  });
}

}  // namespace zinnia
