#include "zinnia_decisions/forwarding/beliefs/store_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {
namespace {

/** Removed records are kept for peers that lag behind; beyond this number the older half goes. */
constexpr std::size_t kMostRemovals = 2'048;

/** A reader hears from the store at least this often: its longest wait, its pause, and a slow
 * answer. */
constexpr Duration kContactLifetime = std::chrono::milliseconds(2'500);

/** All keys: one watch for everything costs one call where one a prefix would cost several. */
constexpr const char* kEverything = "";

MirroredRecord FromStore(const StoreRecord& record) {
  return {record.key, record.version, record.value};
}

}  // namespace

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
      m_retry_pause(settings.retry_pause) {}

StoreMirror::~StoreMirror() = default;

void StoreMirror::Start() {
  List();
}

void StoreMirror::Later(std::chrono::milliseconds pause, void (StoreMirror::*step)()) {
  m_timer = m_scheduler.ScheduleAfter(pause, [this, step] { (this->*step)(); });
}

void StoreMirror::List() {
  m_store.List(kEverything,
               WhileAlive(m_alive, [this](const Result<StoreBatch>& result) { OnListed(result); }));
}

void StoreMirror::OnListed(const Result<StoreBatch>& result) {
  if (!result) {
    NoteFailure(result.error());
    Later(m_retry_pause, &StoreMirror::List);
    return;
  }
  NoteContact();
  MirrorDelta delta;
  delta.complete = true;
  delta.revision = result->version;
  for (const StoreRecord& record : result->records) {
    delta.records.push_back(FromStore(record));
  }
  Merge(delta);
  Watch();
}

void StoreMirror::Watch() {
  m_timer.reset();  // Or a pause that was under way would start a second chain of watches.
  const std::uint64_t number = ++m_watch_number;
  const auto wait = m_is_reader ? m_settings.longest_wait_of_reader : m_settings.longest_wait;
  m_store.Watch(kEverything, m_revision, wait,
                WhileAlive(m_alive, [this, number](const Result<StoreBatch>& result) {
                  if (number == m_watch_number) {
                    OnWatched(result);
                  }
                }));
}

void StoreMirror::SetIsReader(bool is_reader, bool is_substitute) {
  m_is_substitute = is_substitute;
  const bool must_not_wait = is_reader && !m_is_reader && m_filled && m_in_contact;
  m_is_reader = is_reader;
  if (must_not_wait) {
    Watch();
  }
}

void StoreMirror::OnWatched(const Result<StoreBatch>& result) {
  if (!result && result.error().kind == ErrorKind::kStoreHistoryLost) {
    m_logger.Log(LogLevel::kInfo, "store_history_lost", {{"after", std::to_string(m_revision)}});
    List();
    return;
  }
  if (!result) {
    NoteFailure(result.error());
    Later(m_retry_pause, &StoreMirror::Watch);
    return;
  }
  NoteContact();
  MirrorDelta delta;
  delta.revision = result->version;
  for (const StoreRecord& record : result->records) {
    delta.records.push_back(FromStore(record));
  }
  Merge(delta);
  Later(Pause(), &StoreMirror::Watch);
}

std::chrono::milliseconds StoreMirror::Pause() const {
  if (m_is_placer) {
    return m_settings.pause_of_placer;
  }
  return m_is_reader ? m_settings.pause_of_reader : m_settings.pause;
}

void StoreMirror::Merge(const MirrorDelta& delta) {
  if (delta.revision < m_revision && (delta.complete || m_filled)) {
    return;
  }
  std::vector<MirroredRecord> records = delta.records;
  std::sort(records.begin(), records.end(),
            [](const auto& left, const auto& right) { return left.revision < right.revision; });
  for (const MirroredRecord& record : records) {
    Apply(record);
  }
  if (delta.complete) {
    RemoveMissing(delta);
    m_filled = true;
  }
  const bool advanced = delta.revision > m_revision || !records.empty() || delta.complete;
  m_revision = std::max(m_revision, delta.revision);
  if (advanced && m_listener != nullptr) {
    m_listener->OnMirrorAdvanced();
  }
}

void StoreMirror::Apply(const MirroredRecord& record) {
  MirroredRecord& known = m_records[record.key];
  if (record.revision <= known.revision) {
    return;
  }
  known = record;
  if (m_listener != nullptr) {
    m_listener->OnMirroredRecord(known);
  }
}

void StoreMirror::RemoveMissing(const MirrorDelta& delta) {
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
    Apply({key, std::max(delta.revision, m_records[key].revision + 1), std::nullopt});
  }
}

bool StoreMirror::Has(const std::string& key) const {
  const auto record = m_records.find(key);
  return record != m_records.end() && record->second.value.has_value();
}

MirrorDelta StoreMirror::ChangesAfter(std::uint64_t revision) const {
  MirrorDelta delta;
  delta.revision = m_revision;
  delta.complete = revision < m_removals_known_after || revision == 0;
  for (const auto& [key, record] : m_records) {
    if (delta.complete ? record.value.has_value() : record.revision > revision) {
      delta.records.push_back(record);
    }
  }
  return delta;
}

bool StoreMirror::IsSteadyFor(Duration duration) const {
  const TimePoint now = m_clock.Now();
  const bool heard_lately = m_last_contact && now - *m_last_contact <= kContactLifetime;
  return m_in_contact && heard_lately && (!m_last_failure || now - *m_last_failure >= duration);
}

void StoreMirror::NoteFailure(const Error& error) {
  if (m_in_contact || !m_last_failure) {
    m_logger.Log(LogLevel::kWarning, "store_lost",
                 {{"reason", Describe(error)}, {"revision", std::to_string(m_revision)}});
  }
  m_in_contact = false;
  m_last_failure = m_clock.Now();
  const auto longest = m_is_substitute ? m_settings.longest_retry_pause_of_substitute
                                       : m_settings.longest_retry_pause;
  m_retry_pause = std::min(m_retry_pause * 2, longest);
}

void StoreMirror::NoteContact() {
  if (!m_in_contact) {
    m_logger.Log(LogLevel::kInfo, m_ever_in_contact ? "store_regained" : "store_reached",
                 {{"revision", std::to_string(m_revision)}});
  }
  m_in_contact = true;
  m_last_contact = m_clock.Now();
  m_ever_in_contact = true;
  m_retry_pause = m_settings.retry_pause;
  std::size_t removals = 0;
  std::uint64_t newest_removal = 0;
  for (const auto& [key, record] : m_records) {
    if (!record.value) {
      ++removals;
      newest_removal = std::max(newest_removal, record.revision);
    }
  }
  if (removals > kMostRemovals) {
    std::erase_if(m_records, [](const auto& entry) { return !entry.second.value; });
    m_removals_known_after = newest_removal;
  }
}

}  // namespace zinnia
