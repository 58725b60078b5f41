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
#include "zinnia_decisions/forwarding/observed_state/mirrored_record.h"
#include "zinnia_decisions/forwarding/observed_state/record_origin.h"
#include "zinnia_decisions/forwarding/observed_state/store_contact.h"
#include "zinnia_decisions/ports/platform_store.h"

namespace zinnia {

class Logger;

/** Receives each change of a mirror, in the order of revisions. */
class MirrorListener {
 public:
  virtual ~MirrorListener() = default;

  /** Called after one or more OnMirroredRecord calls, or when only the revision advanced. */
  virtual void OnMirrorAdvanced() = 0;
  virtual void OnMirroredRecord(const MirroredRecord& record, RecordOrigin origin) = 0;
};

/** For whom a StoreMirror watches the store. */
enum class StoreWatchRole {
  /** Does not watch; the records of peers arrive through Merge. */
  kNone,

  /** For this instance only, since no store watcher has been known for a while. */
  kSubstitute,

  /** For the whole fleet. */
  kStoreWatcher,
};

std::string_view NameOf(StoreWatchRole role);

struct StoreMirrorSettings {
  /** Maximum duration of one watch. Each watch is billed, but a watch that waits while the store
      drops its history receives nothing until it ends, so it must be short. */
  std::chrono::milliseconds longest_wait{1'500};

  /** A watch whose end is overdue by this is followed by one that does not wait, since its
     connection may have gone silent. Above the response time of a slow store, which would cost a
     call for each watch. */
  std::chrono::milliseconds overdue_after{250};

  /** A watch is no shorter than this, however soon its share of the interval ends. */
  std::chrono::milliseconds shortest_wait{100};

  /** Pause between two watches, so that one response carries a burst of changes. A fifth of the two
      seconds within which changes must be in force. */
  std::chrono::milliseconds pause{400};

  /** Replaces `pause` on the placer: each engine that starts waits for its decision. */
  std::chrono::milliseconds pause_of_placer{80};

  /** Pause after the first list, which also shows who watches for the fleet. Avoids a watch by
      every instance when the whole fleet starts at once. */
  std::chrono::milliseconds pause_after_first_list{500};

  /** Pause after a failed call; doubles up to `longest_retry_pause`. */
  std::chrono::milliseconds retry_pause{100};
  std::chrono::milliseconds longest_retry_pause{500};

  /** The same for a substitute: in a store outage that may be every instance, and failed calls are
      billed. */
  std::chrono::milliseconds longest_retry_pause_of_substitute{2'000};

  /** Substitutes spread their calls over this time multiplied by the number of live instances: at
      most two hundred first tries and fifty retries a second for any fleet size. */
  std::chrono::milliseconds first_try_per_instance{5};
  std::chrono::milliseconds retry_per_instance{20};

  /** This instance's position in that spread, from 0 to 1. */
  double spread_position = 0.0;
};

/** A copy of all records in the platform's store, kept current by one list and a chain of watches.
    The first list may be seconds old; the first watch or a peer supplies what changed since.

    If the store has dropped its history (a watch fails with kStoreHistoryLost), the mirror lists
    again and reports missing records as removed. If the store cannot be reached, records of peers
    are taken over by Merge. Revisions never decrease; a store that comes back from an older copy is
    in a newer era.

    Used on the control thread only. */
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

  /** Sets the watch role and the number of live instances. */
  void SetWatchRole(StoreWatchRole role, std::size_t live_instances);

  /** Sets this mirror's place among the store watchers of the fleet. Their watches are spread, so
     that one of them ends soon at any time: one that hears nothing is noticed only at its end. */
  void SetWatchSlot(std::size_t rank, std::size_t watchers);

  /** Whether this mirror watches the store itself. */
  bool IsWatching() const { return m_role != StoreWatchRole::kNone; }

  /** Whether this instance is the placer, which shortens the pause between watches. */
  void SetIsPlacer(bool is_placer) { m_is_placer = is_placer; }

  /** Called when the store was heard to be in another era. A mirror that watches lists at once: the
      store has lost some of the records known here, and gives their revisions out again. */
  void OnStoreEraChanged(StoreEra era);

  /** Whether the store may be in this era, as far as is known. */
  bool IsPlausibleEra(StoreEra era) const;

  /** Takes over records of a peer. Records older than the known ones are ignored. A newer era
      begins only with a full snapshot. */
  void Merge(const MirrorDelta& delta);

  /** Who sent the records that are being taken over, for the log: "store" or "peer". */
  std::string_view Source() const { return m_source; }

  /** The changes that a peer at `revision` lacks. A full snapshot if the removals since then are no
      longer known. */
  MirrorDelta ChangesAfter(StoreRevision revision) const;

  bool Has(const std::string& key) const;

  StoreRevision Revision() const { return m_revision; }

  /** Whether a full copy was received at least once, from the store or a peer. */
  bool IsFilled() const { return m_filled; }

  /** What this mirror's calls show of the store. Says nothing good of it without recent calls:
      otherwise records that lapsed in an outage would count as servers that left. */
  const StoreContact& Contact() const { return m_contact; }

 private:
  void List();
  bool IsOfKnownEra(const StoreBatch& batch) const;
  StoreRevision RevisionOf(const StoreBatch& batch) const;
  MirroredRecord FromStore(const StoreBatch& batch, const StoreRecord& record) const;
  void OnListed(const Result<StoreBatch>& result);
  void Watch();
  void WatchAfter(std::chrono::milliseconds pause);
  std::chrono::milliseconds PauseBetweenWatches() const;
  std::chrono::milliseconds NextWait() const;
  void SendWatch(std::chrono::milliseconds wait);
  void ListAfterLostHistory();
  std::chrono::milliseconds RetryPause() const;
  void OnWatched(const Result<StoreBatch>& result);
  bool BeginsEraWithoutSnapshot(const MirrorDelta& delta) const;
  void MergeFrom(std::string_view source, const MirrorDelta& delta);
  void Apply(const MirroredRecord& record, RecordOrigin origin);
  void Guard(std::string_view event, const std::string& key, const std::function<void()>& call);
  void RemoveMissing(const MirrorDelta& delta, RecordOrigin origin);
  void RecordFailure(const Error& error);
  void RecordContact();
  void ScheduleStep(std::chrono::milliseconds pause, void (StoreMirror::*step)());

  PlatformStore& m_store;
  Scheduler& m_scheduler;
  const Clock& m_clock;
  Logger& m_logger;
  const StoreMirrorSettings m_settings;
  MirrorListener* m_listener = nullptr;
  std::map<std::string, MirroredRecord> m_records;

  /** Removals up to this revision are no longer known. */
  StoreRevision m_removals_known_after;
  StoreRevision m_revision;

  /** The newest era heard of, from the store or a peer. */
  StoreEra m_era = 0;
  std::chrono::milliseconds m_retry_pause;
  StoreContact m_contact;

  /** By when the earliest of the calls without an answer should have had it. */
  TimePoint m_answer_due{};
  StoreWatchRole m_role = StoreWatchRole::kStoreWatcher;
  std::size_t m_live_instances = 1;
  bool m_is_placer = false;
  std::string_view m_source;
  std::size_t m_watch_rank = 0;
  std::size_t m_watchers = 1;

  /** When the revision advanced last. */
  TimePoint m_changed_at{};

  /** Watches in a row that the store refused since it has dropped their history. */
  int m_lost_histories = 0;

  /** Responses to earlier lists and watches are ignored. */
  std::uint64_t m_call_number = 0;
  bool m_filled = false;
  std::unique_ptr<ScheduledCall> m_timer;
  std::unique_ptr<ScheduledCall> m_overdue_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
