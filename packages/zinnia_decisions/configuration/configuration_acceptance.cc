#include "zinnia_decisions/configuration/configuration_acceptance.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <utility>

#include "zinnia_decisions/configuration/configuration_state.h"

namespace zinnia {
namespace {

constexpr Duration kOutcomeTimeout = std::chrono::seconds(10);
constexpr Duration kRetryDelay = std::chrono::milliseconds(250);
constexpr std::chrono::milliseconds kUnavailableRetryAfter{1000};
constexpr std::size_t kMaxChangeBytes = 512UL * 1024;
constexpr std::size_t kMaxTailBytes = 900UL * 1024;

std::size_t SizeOf(const ConfigurationChange& change) {
  std::size_t size = 0;
  for (const ChangedPath& path : change.paths) {
    size += path.path.size() + path.value.value_or("").size();
  }
  return size;
}

Error Unavailable(const std::string& why) {
  Error error = MakeError(ErrorKind::kStoreUnavailable, "the change was not applied: " + why);
  error.retry_after = kUnavailableRetryAfter;
  return error;
}

Result<void> ValidateChange(const ConfigurationChange& change) {
  if (change.change_id.empty() || change.paths.empty()) {
    return MakeError(ErrorKind::kInvalidRequest, "a change needs an id and at least one path");
  }
  if (SizeOf(change) > kMaxChangeBytes) {
    return MakeError(ErrorKind::kPayloadTooLarge,
                     fmt::format("a change may hold {} bytes: split it", kMaxChangeBytes));
  }
  return {};
}

}  // namespace

std::shared_ptr<ConfigurationAcceptance> ConfigurationAcceptance::Start(ConfigurationChange change,
                                                                        AcceptanceHost& host,
                                                                        ConfigurationStore& store,
                                                                        Clock& clock,
                                                                        Scheduler& scheduler,
                                                                        Callback callback) {
  std::shared_ptr<ConfigurationAcceptance> acceptance(new ConfigurationAcceptance(
      std::move(change), host, store, clock, scheduler, std::move(callback)));
  const Result<void> shape = ValidateChange(acceptance->m_change);
  if (shape) {
    acceptance->ReadHead();
  } else {
    acceptance->Finish(shape.error());
  }
  return acceptance;
}

ConfigurationAcceptance::ConfigurationAcceptance(ConfigurationChange change,
                                                 AcceptanceHost& host,
                                                 ConfigurationStore& store,
                                                 Clock& clock,
                                                 Scheduler& scheduler,
                                                 Callback callback)
    : m_change(std::move(change)),
      m_host(host),
      m_store(store),
      m_clock(clock),
      m_scheduler(scheduler),
      m_callback(std::move(callback)),
      m_deadline(clock.Now() + kOutcomeTimeout) {}

void ConfigurationAcceptance::Finish(Result<ConfigurationRevision> outcome) {
  // Set only after the callback, which may submit a change and so destroy finished acceptances.
  std::exchange(m_callback, nullptr)(std::move(outcome));
  m_finished = true;
}

void ConfigurationAcceptance::ReadHead() {
  const ConfigurationRevision revision_before_read = m_host.State().revision();
  m_store.ReadHead(m_guard.Wrap([this, revision_before_read](Result<VersionedHead> head) {
    OnHead(std::move(head), revision_before_read);
  }));
}

void ConfigurationAcceptance::OnHead(Result<VersionedHead> head,
                                     ConfigurationRevision revision_before_read) {
  if (!head) {
    if (m_may_have_been_written) {
      ScheduleRetry();
    } else {
      Finish(Unavailable(head.error().message));
    }
    return;
  }
  m_host.CatchUp(*head, revision_before_read,
                 m_guard.Wrap([this, head = *head](const Result<void>& caught_up) {
                   if (caught_up) {
                     Decide(head);
                   } else if (m_may_have_been_written) {
                     ScheduleRetry();
                   } else {
                     Finish(Unavailable(caught_up.error().message));
                   }
                 }));
}

void ConfigurationAcceptance::Decide(VersionedHead head) {
  if (const auto revision = head.head.FindChange(m_change.change_id)) {
    Finish(*revision);
    return;
  }
  if (head.head.revision != m_change.against_revision) {
    Finish(ConflictWith(head.head));
    return;
  }
  const ConfigurationRevision next = head.head.revision + 1;
  const auto parsed = m_host.State().parsed()->WithChanges(next, Entries(next));
  if (!parsed) {
    Finish(parsed.error());
    return;
  }
  head.head.Append(m_change.change_id, Entries(next));
  if (head.head.TailSize() > kMaxTailBytes) {
    Finish(Unavailable("the changes before it are still being compacted"));
    return;
  }
  Write(head);
}

void ConfigurationAcceptance::Write(const VersionedHead& head) {
  m_store.WriteHead(
      head, head.head,
      m_guard.Wrap([this, head](const Result<std::uint64_t>& answer) { OnWritten(head, answer); }));
}

void ConfigurationAcceptance::OnWritten(VersionedHead written,
                                        const Result<std::uint64_t>& answer) {
  if (answer) {
    const ConfigurationRevision revision = written.head.revision;
    written.version = *answer;
    m_host.OnAccepted(std::move(written));
    Finish(revision);
    return;
  }
  switch (answer.error().kind) {
    case ErrorKind::kStoreConflict:
      // The head was written by another change, a compaction, or an earlier attempt whose response
      // was lost.
      ReadHead();
      break;
    case ErrorKind::kStoreUnavailable:
      if (m_may_have_been_written) {
        ScheduleRetry();
      } else {
        Finish(Unavailable(answer.error().message));
      }
      break;
    default:
      m_may_have_been_written = true;
      ScheduleRetry();
  }
}

void ConfigurationAcceptance::ScheduleRetry() {
  if (m_clock.Now() >= m_deadline) {
    Error error = MakeError(ErrorKind::kStoreOutcomeUnknown,
                            fmt::format("whether change {} was accepted could not be read back: "
                                        "send it again with the same id",
                                        m_change.change_id));
    error.was_run = WasRun::kUnknown;
    Finish(error);
    return;
  }
  m_retry_call = m_scheduler.ScheduleAfter(kRetryDelay, [this] { ReadHead(); });
}

Error ConfigurationAcceptance::ConflictWith(const ConfigurationHead& head) const {
  std::vector<std::string> paths;
  for (const ChangedPath& path : m_change.paths) {
    paths.push_back(path.path);
  }
  const std::vector<std::string> changed =
      m_host.State().ChangedSince(m_change.against_revision, paths);
  const std::string touched = changed.empty()
                                  ? "none of the touched paths changed"
                                  : fmt::format("changed since: {}", fmt::join(changed, ", "));
  return MakeError(ErrorKind::kRevisionConflict,
                   fmt::format("the change was made against revision {}, the newest is {}; {}",
                               m_change.against_revision, head.revision, touched));
}

std::vector<ConfigurationEntry> ConfigurationAcceptance::Entries(
    ConfigurationRevision revision) const {
  std::vector<ConfigurationEntry> entries;
  for (const ChangedPath& path : m_change.paths) {
    entries.push_back({path.path, revision, path.value});
  }
  return entries;
}

}  // namespace zinnia
