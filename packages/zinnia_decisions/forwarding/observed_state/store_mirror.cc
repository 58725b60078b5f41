#include "zinnia_decisions/forwarding/observed_state/store_mirror.h"

#include <algorithm>
#include <array>
#include <exception>
#include <set>
#include <utility>

#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/forwarding/observed_state/store_era_tracker.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {
namespace {

/** Removed records are kept for peers that lag behind; above this number all of them are dropped.
 */
constexpr std::size_t kMaxRemovals = 2'048;

/** One watch for all keys costs one call; one per prefix would cost several. */
constexpr const char* kAllKeys = "";

/** The shortest wait that a watch can name. */
constexpr std::chrono::milliseconds kNoWait{1};

constexpr std::string_view kStoreSource = "store";
constexpr std::string_view kPeerSource = "peer";

constexpr std::array<std::string_view, 3> kRoleNames = {"none", "substitute", "reader"};

}  // namespace

std::string_view NameOf(StoreWatchRole role) {
  return kRoleNames[static_cast<std::size_t>(role)];
}

StoreMirror::StoreMirror(PlatformStore& store,
                         Scheduler& scheduler,
                         const Clock& clock,
                         Logger& logger,
                         StoreMirrorSettings settings)
    : m_store(store),
      m_scheduler(scheduler),
      m_clock(clock),
      m_logger(logger),
      m_settings(settings),
      m_retry_pause(settings.retry_pause),
      m_contact(clock) {}

StoreMirror::~StoreMirror() = default;

void StoreMirror::Start() {
  List();
}

void StoreMirror::ScheduleStep(std::chrono::milliseconds pause, void (StoreMirror::*step)()) {
  m_timer = m_scheduler.ScheduleAfter(pause, [this, step] { (this->*step)(); });
}

bool StoreMirror::IsOfKnownEra(const StoreBatch& batch) const {
  return !batch.era || *batch.era == m_era;
}

StoreRevision StoreMirror::RevisionOf(const StoreBatch& batch) const {
  return {batch.era.value_or(m_era), batch.version};
}

MirroredRecord StoreMirror::FromStore(const StoreBatch& batch, const StoreRecord& record) const {
  return {record.key, {RevisionOf(batch).era, record.version}, record.value};
}

void StoreMirror::OnStoreEraChanged(StoreEra era) {
  m_era = std::max(m_era, era);
  if (m_filled && m_revision.era < m_era && m_role != StoreWatchRole::kNone) {
    List();
  }
}

bool StoreMirror::IsPlausibleEra(StoreEra era) const {
  return m_era == 0 || era <= m_era || era - m_era <= StoreEraTracker::kMaxRise;
}

void StoreMirror::List() {
  m_timer.reset();
  m_overdue_timer.reset();
  m_answer_due = m_clock.Now();
  auto listed =
      WhileAlive(m_alive, [this, number = ++m_call_number](const Result<StoreBatch>& result) {
        if (number == m_call_number) {
          OnListed(result);
        }
      });
  if (m_filled) {
    m_store.List(kAllKeys, std::move(listed));
  } else {
    m_store.ListMayLag(kAllKeys, std::move(listed));
  }
}

void StoreMirror::OnListed(const Result<StoreBatch>& result) {
  if (!result) {
    RecordFailure(result.error());
    ScheduleStep(RetryPause(), &StoreMirror::List);
    return;
  }
  RecordContact();
  if (!IsOfKnownEra(*result)) {
    ScheduleStep(RetryPause(), &StoreMirror::List);
    return;
  }
  const bool is_first = !m_filled;
  MirrorDelta delta;
  delta.complete = true;
  delta.revision = RevisionOf(*result);
  if (m_filled && delta.revision < m_revision) {
    m_logger.Log(LogLevel::kWarning, "store_list_behind",
                 {{"listed", std::to_string(delta.revision.number)},
                  {"revision", std::to_string(m_revision.number)},
                  {"era", std::to_string(m_revision.era)}});
  }
  for (const StoreRecord& record : result->records) {
    delta.records.push_back(FromStore(*result, record));
  }
  MergeFrom(kStoreSource, delta);
  WatchAfter(is_first ? m_settings.pause_after_first_list : std::chrono::milliseconds(0));
}

void StoreMirror::WatchAfter(std::chrono::milliseconds pause) {
  if (m_role == StoreWatchRole::kNone) {
    m_overdue_timer.reset();
    m_timer.reset();
  } else if (pause.count() == 0) {
    Watch();
  } else {
    ScheduleStep(pause, &StoreMirror::Watch);
  }
}

void StoreMirror::Watch() {
  m_timer.reset();  // Or a pause that was under way would start a second chain of watches.
  if (m_revision.era < m_era) {
    List();
    return;
  }
  if (!m_contact.IsInContact()) {
    // An answer at once shows whether the store has been away.
    m_overdue_timer.reset();
    m_answer_due = m_clock.Now();
    SendWatch(kNoWait);
    return;
  }
  const std::chrono::milliseconds wait = NextWait();
  m_answer_due = m_clock.Now() + wait;
  SendWatch(wait);
  m_overdue_timer =
      m_scheduler.ScheduleAfter(wait + m_settings.overdue_after, [this] { SendWatch(kNoWait); });
}

void StoreMirror::SendWatch(std::chrono::milliseconds wait) {
  const std::uint64_t number = ++m_call_number;
  m_store.Watch(kAllKeys, m_revision.number, wait,
                WhileAlive(m_alive, [this, number](const Result<StoreBatch>& result) {
                  if (number == m_call_number) {
                    m_overdue_timer.reset();
                    OnWatched(result);
                  }
                }));
}

void StoreMirror::SetWatchRole(StoreWatchRole role, std::size_t live_instances) {
  m_live_instances = live_instances;
  const StoreWatchRole before = std::exchange(m_role, role);
  if (role == before || !m_filled || role == StoreWatchRole::kNone) {
    return;
  }
  if (role == StoreWatchRole::kStoreWatcher) {
    Watch();
  } else if (before == StoreWatchRole::kNone) {
    const double spread = m_settings.spread_position * static_cast<double>(m_live_instances);
    WatchAfter(std::chrono::duration_cast<std::chrono::milliseconds>(
        m_settings.first_try_per_instance * spread));
  }
}

void StoreMirror::OnWatched(const Result<StoreBatch>& result) {
  if (!result && result.error().kind == ErrorKind::kStoreHistoryLost) {
    m_logger.Log(
        LogLevel::kInfo, "store_history_lost",
        {{"after", std::to_string(m_revision.number)}, {"era", std::to_string(m_revision.era)}});
    ListAfterLostHistory();
    return;
  }
  if (!result) {
    RecordFailure(result.error());
    WatchAfter(RetryPause());
    return;
  }
  RecordContact();
  if (!IsOfKnownEra(*result)) {
    WatchAfter(RetryPause());
    return;
  }
  MirrorDelta delta;
  delta.revision = RevisionOf(*result);
  for (const StoreRecord& record : result->records) {
    delta.records.push_back(FromStore(*result, record));
  }
  m_lost_histories = 0;
  MergeFrom(kStoreSource, delta);
  WatchAfter(PauseBetweenWatches());
}

/** The second list in a row, and those after it, are delayed: a store that refuses the revision of
   its own list would otherwise be listed without a pause. */
void StoreMirror::ListAfterLostHistory() {
  const int repetition = m_lost_histories++;
  if (repetition == 0) {
    List();
    return;
  }
  const std::chrono::milliseconds pause = m_settings.retry_pause * (1 << std::min(repetition, 5));
  ScheduleStep(std::min(pause, m_settings.longest_retry_pause), &StoreMirror::List);
}

void StoreMirror::SetWatchSlot(std::size_t rank, std::size_t watchers) {
  m_watch_rank = rank;
  m_watchers = std::max<std::size_t>(watchers, 1);
}

std::chrono::milliseconds StoreMirror::PauseBetweenWatches() const {
  return m_is_placer ? m_settings.pause_of_placer : m_settings.pause;
}

/** A store watcher's watches end at its share of an interval, counted from the last change. All
   store watchers hear of that within milliseconds, from the store or from each other. */
std::chrono::milliseconds StoreMirror::NextWait() const {
  const std::chrono::milliseconds interval = m_settings.longest_wait + m_settings.pause;
  if (m_role != StoreWatchRole::kStoreWatcher || m_watch_rank >= m_watchers) {
    return interval - PauseBetweenWatches();
  }
  const auto share = interval * (m_watch_rank + 1) / m_watchers;
  const auto since_change =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.Now() - m_changed_at);
  const auto earliest = since_change + m_settings.shortest_wait;
  const auto intervals = earliest <= share ? 0 : (earliest - share + interval) / interval;
  return std::chrono::duration_cast<std::chrono::milliseconds>(share + interval * intervals) -
         since_change;
}

std::chrono::milliseconds StoreMirror::RetryPause() const {
  if (m_role == StoreWatchRole::kStoreWatcher) {
    return std::min(m_retry_pause, m_settings.longest_retry_pause);
  }
  const std::chrono::milliseconds spread = m_settings.retry_per_instance * m_live_instances;
  return std::max(std::min(m_retry_pause, m_settings.longest_retry_pause_of_substitute), spread);
}

void StoreMirror::Merge(const MirrorDelta& delta) {
  MergeFrom(kPeerSource, delta);
}

void StoreMirror::MergeFrom(std::string_view source, const MirrorDelta& delta) {
  if (delta.revision < m_revision && (delta.complete || m_filled)) {
    return;
  }
  if (!IsPlausibleEra(delta.revision.era) || BeginsEraWithoutSnapshot(delta)) {
    m_logger.Log(
        LogLevel::kWarning, "records_of_another_era_ignored",
        {{"era", std::to_string(delta.revision.era)}, {"known_era", std::to_string(m_era)}});
    return;
  }
  m_era = std::max(m_era, delta.revision.era);
  m_source = source;
  std::vector<MirroredRecord> records = delta.records;
  std::sort(records.begin(), records.end(),
            [](const auto& left, const auto& right) { return left.revision < right.revision; });
  const bool begins_era = m_filled && delta.revision.era > m_revision.era;
  const RecordOrigin origin = begins_era ? RecordOrigin::kOlderCopy : RecordOrigin::kChange;
  for (const MirroredRecord& record : records) {
    Apply(record, origin);
  }
  if (delta.complete) {
    RemoveMissing(delta, origin);
    // A snapshot does not name keys that were removed before it and that this mirror never knew.
    m_removals_known_after = std::max(m_removals_known_after, delta.revision);
    m_filled = true;
  }
  const bool advanced = delta.revision > m_revision || !records.empty() || delta.complete;
  if (delta.revision > m_revision) {
    m_changed_at = m_clock.Now();
  }
  m_revision = std::max(m_revision, delta.revision);
  if (advanced && m_listener != nullptr) {
    Guard("view_not_published", "", [this] { m_listener->OnMirrorAdvanced(); });
  }
}

bool StoreMirror::BeginsEraWithoutSnapshot(const MirrorDelta& delta) const {
  return m_filled && !delta.complete && delta.revision.era > m_revision.era;
}

void StoreMirror::Apply(const MirroredRecord& record, RecordOrigin origin) {
  MirroredRecord& known = m_records[record.key];
  if (record.revision <= known.revision) {
    return;
  }
  known = record;
  if (m_listener != nullptr) {
    Guard("record_not_taken", known.key, [&] { m_listener->OnMirroredRecord(known, origin); });
  }
}

/** A listener that throws must not end the chain of watches, nor keep the records behind one from
    being taken. */
void StoreMirror::Guard(std::string_view event,
                        const std::string& key,
                        const std::function<void()>& call) {
  try {
    call();
  } catch (const std::exception& failure) {
    m_logger.Log(LogLevel::kError, event,
                 {{"key", key},
                  {"revision", std::to_string(m_revision.number)},
                  {"reason", failure.what()}});
  }
}

void StoreMirror::RemoveMissing(const MirrorDelta& delta, RecordOrigin origin) {
  std::set<std::string> present;
  for (const MirroredRecord& record : delta.records) {
    present.insert(record.key);
  }
  std::vector<std::string> missing;
  for (const auto& [key, record] : m_records) {
    if (record.value && record.revision <= delta.revision && !present.contains(key)) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    const StoreRevision known = m_records[key].revision;
    const StoreRevision next = {known.era, known.number + 1};
    Apply({key, std::max(delta.revision, next), std::nullopt}, origin);
  }
}

bool StoreMirror::Has(const std::string& key) const {
  const auto record = m_records.find(key);
  return record != m_records.end() && record->second.value.has_value();
}

MirrorDelta StoreMirror::ChangesAfter(StoreRevision revision) const {
  MirrorDelta delta;
  delta.revision = m_revision;
  delta.complete = revision < m_removals_known_after || revision == StoreRevision();
  for (const auto& [key, record] : m_records) {
    if (delta.complete ? record.value.has_value() : record.revision > revision) {
      delta.records.push_back(record);
    }
  }
  return delta;
}

void StoreMirror::RecordFailure(const Error& error) {
  if (m_contact.IsInContact() || !m_contact.HasEverFailed()) {
    m_logger.Log(LogLevel::kWarning, "store_lost",
                 {{"reason", Describe(error)}, {"revision", std::to_string(m_revision.number)}});
  }
  m_contact.OnFailure(m_answer_due);
  m_retry_pause = std::min(m_retry_pause * 2, m_settings.longest_retry_pause_of_substitute);
}

void StoreMirror::RecordContact() {
  if (!m_contact.IsInContact()) {
    m_logger.Log(LogLevel::kInfo, m_contact.WasEverInContact() ? "store_regained" : "store_reached",
                 {{"revision", std::to_string(m_revision.number)}, {"era", std::to_string(m_era)}});
  }
  m_contact.OnAnswer();
  m_retry_pause = m_settings.retry_pause;
  std::size_t removals = 0;
  StoreRevision newest_removal;
  for (const auto& [key, record] : m_records) {
    if (!record.value) {
      ++removals;
      newest_removal = std::max(newest_removal, record.revision);
    }
  }
  if (removals > kMaxRemovals) {
    std::erase_if(m_records, [](const auto& entry) { return !entry.second.value; });
    m_removals_known_after = newest_removal;
  }
}

}  // namespace zinnia
