#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "zinnia_base/time/clock.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/forwarding/beliefs/mirrored_record.h"
#include "zinnia_decisions/ports/platform_store.h"

namespace zinnia {

class Logger;

/** Hears each change of a mirror, in the order of revisions. */
class MirrorListener {
 public:
  virtual ~MirrorListener() = default;

  /** After one or more OnMirroredRecord calls. */
  virtual void OnMirrorAdvanced() = 0;
  virtual void OnMirroredRecord(const MirroredRecord& record) = 0;
};

/** On whose account a StoreMirror asks the store. */
enum class StoreWatchRole {
  /** Others do; their news is taken in by Merge. */
  kNone,

  /** This instance's own, as no word of a reader has come for a while. */
  kSubstitute,

  /** The whole fleet's. */
  kStoreWatcher,
};

std::string_view NameOf(StoreWatchRole reading);

/** Intervals of a StoreMirror. */
struct StoreMirrorSettings {
  /** How long one watch waits; each one is priced. A waiting watch may hear nothing while the store
      drops its history, and only its end shows that, so it must be brief. */
  std::chrono::milliseconds longest_wait{1'500};

  /** Pause between two watches, so that one answer carries a burst of changes: a fifth of the two
      seconds within which changes must be in force. */
  std::chrono::milliseconds pause{400};

  /** The pause of an instance that places layers: each engine that starts waits for it. */
  std::chrono::milliseconds pause_of_placer{80};

  /** After the first list, which also shows who reads for the fleet. Were each instance to watch at
      once, a start of the whole fleet would make a call more for each. */
  std::chrono::milliseconds pause_after_first_list{500};

  /** Pause after a failed call. Doubles up to `longest_retry_pause`. */
  std::chrono::milliseconds retry_pause{100};
  std::chrono::milliseconds longest_retry_pause{500};

  /** The same for an instance that is no reader: while the store is away that may be every one, and
      each refused call is priced. */
  std::chrono::milliseconds longest_retry_pause_of_substitute{2'000};

  /** Substitutes spread their calls over at least so much for each live instance: no more than two
      hundred first tries and fifty later ones a second, whatever the size of the fleet. */
  std::chrono::milliseconds first_try_per_instance{5};
  std::chrono::milliseconds retry_per_instance{20};

  /** This instance's place in that spread, from 0 to 1. */
  double place = 0.0;
};

/** A copy of everything in the platform's store, kept current by one list and a chain of watches.

    The first list may be seconds old: what changed since comes by the first watch, or from a
   reader.

    What can go wrong, and what is done: history was dropped (the watch fails with
    kStoreHistoryLost): the mirror lists anew and reports what disappeared meanwhile as removed. The
    store is silent or refuses this instance only: news of peers is taken in by Merge. Revisions
    never move back.

    Lives on the control thread.
*/
class StoreMirror {
 public:
  StoreMirror(PlatformStore& store,
              Scheduler& scheduler,
              const Clock& clock,
              Logger& logger,
              StoreMirrorSettings settings);
  ~StoreMirror();

  void SetListener(MirrorListener* listener) { m_listener = listener; }
  void Start();

  /** Who reads for whom from now on, and how many instances live. */
  void SetWatchRole(StoreWatchRole reading, std::size_t live_instances);

  /** Whether it asks the store by itself. */
  bool IsWatching() const { return m_reading != StoreWatchRole::kNone; }

  /** Whether this instance acts on what servers say. */
  void SetIsPlacer(bool is_placer) { m_is_placer = is_placer; }

  /** News of a peer. Older records than the known ones are ignored. */
  void Merge(const MirrorDelta& delta);

  /** What a peer that stands at `revision` lacks. Complete if the removals since then are no longer
      known. */
  MirrorDelta ChangesAfter(std::uint64_t revision) const;

  bool Has(const std::string& key) const;

  std::uint64_t Revision() const { return m_revision; }

  /** Whether everything was read at least once, from the store or a peer. */
  bool IsFilled() const { return m_filled; }

  bool IsInContact() const { return m_in_contact; }

  /** Whether the store answered lately, and has not failed a call of this mirror for `duration`.
     Not having asked is no sign of steadiness: taken for one, entries that lapsed in an outage
     would count as servers that left. */
  bool IsStableFor(Duration duration) const;

 private:
  void List();
  void OnListed(const Result<StoreBatch>& result);
  void Watch();
  void WatchAfter(std::chrono::milliseconds pause);
  std::chrono::milliseconds RetryPause() const;
  void OnWatched(const Result<StoreBatch>& result);
  void Apply(const MirroredRecord& record);
  void RemoveMissing(const MirrorDelta& delta);
  void NoteFailure(const Error& error);
  void NoteContact();
  void Later(std::chrono::milliseconds pause, void (StoreMirror::*step)());

  PlatformStore& m_store;
  Scheduler& m_scheduler;
  const Clock& m_clock;
  Logger& m_logger;
  const StoreMirrorSettings m_settings;
  MirrorListener* m_listener = nullptr;
  std::map<std::string, MirroredRecord> m_records;

  /** Removals before this revision are forgotten. */
  std::uint64_t m_removals_known_after = 0;
  std::uint64_t m_revision = 0;
  std::chrono::milliseconds m_retry_pause;
  std::optional<TimePoint> m_last_failure;
  std::optional<TimePoint> m_last_contact;
  StoreWatchRole m_reading = StoreWatchRole::kStoreWatcher;
  std::size_t m_live_instances = 1;
  bool m_is_placer = false;

  /** Answers to watches before the newest one are ignored. */
  std::uint64_t m_watch_number = 0;
  bool m_filled = false;
  bool m_in_contact = false;
  bool m_ever_in_contact = false;
  std::unique_ptr<ScheduledCall> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
