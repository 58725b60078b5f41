#include "zinnia_decisions/once/once_coordinator.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/once/alive_guard.h"
#include "zinnia_decisions/once/pending_begin.h"
#include "zinnia_decisions/ports/peer_transport.h"

namespace zinnia {
namespace {

/** Open grants kept for Report. When full, the oldest is dropped and its key stays kStarted. */
constexpr std::size_t kMaxOpenGrants = 65'536;

std::string GrantName(const OrganisationName& organisation,
                      const std::string& key,
                      const std::string& request_id) {
  return fmt::format("{}:{}/{}", request_id.size(), request_id,
                     IntentIndex::KeyOf(organisation, key));
}

void Ignore(const Result<void>&) {}

}  // namespace

struct OnceCoordinator::Grant {
  std::string name;
  std::string attempt;
};

Result<std::unique_ptr<OnceCoordinator>> OnceCoordinator::Create(OnceParts parts,
                                                                 OnceSettings settings,
                                                                 std::uint64_t seed) {
  const Result<void> checked = CheckOnceSettings(settings);
  if (!checked) {
    return checked.error();
  }
  return std::unique_ptr<OnceCoordinator>(new OnceCoordinator(parts, settings, seed));
}

OnceCoordinator::OnceCoordinator(OnceParts parts, OnceSettings settings, std::uint64_t seed)
    : m_parts(parts),
      m_settings(settings),
      m_random(seed),
      m_failure_detector(m_parts,
                         m_settings,
                         [this](const Instance& holder) { OnHolderSilent(holder); }),
      m_takeover_slots(settings.most_takeovers) {
  m_reporter = std::make_unique<OutcomeReporter>(
      m_parts, m_settings, [this](std::uint32_t partition) { return RoleOf(partition); },
      m_random());
  m_parts.membership.AddListener(*this);
}

OnceCoordinator::~OnceCoordinator() {
  m_parts.membership.RemoveListener(*this);
}

void OnceCoordinator::Start() {
  Tick();
}

void OnceCoordinator::Begin(IntentRequest request,
                            std::function<void(Result<IntentReply>)> callback) {
  if (m_roles.empty()) {
    const Error error =
        Refusal(ErrorKind::kStoreUnavailable, "the store's layout has not been read yet");
    RecordRefusal(request.request_id, error);
    return callback(error);
  }
  if (m_pending_begins.size() >= m_settings.most_queued) {
    const Error error = Refusal(ErrorKind::kOverloaded, "too many non-idempotent requests at once");
    RecordRefusal(request.request_id, error);
    return callback(error);
  }
  Step(MakePendingBegin(std::move(request), std::move(callback)));
}

OnceCoordinator::PendingBeginPointer OnceCoordinator::MakePendingBegin(
    IntentRequest request,
    std::function<void(Result<IntentReply>)> callback) {
  const Instance& self = m_parts.membership.Self();
  auto pending = std::make_shared<PendingBegin>();
  pending->caller_request_id = request.request_id;
  pending->request = std::move(request);
  pending->request.partition = PartitionOf(pending->request.organisation, pending->request.key);
  pending->request.asking_instance = self.name;
  pending->request.request_id = fmt::format("{}/{}/{}", self.name, self.start, m_next_attempt++);
  pending->callback = std::move(callback);
  pending->begun_at = m_parts.clock.Now();
  RecordBegin(*pending);
  pending->deadline = m_parts.scheduler.ScheduleAfter(
      m_settings.begin_timeout,
      [this, weak = std::weak_ptr<PendingBegin>(pending)] { OnDeadline(weak.lock()); });
  m_pending_begins.insert(pending);
  return pending;
}

void OnceCoordinator::Finish(const PendingBeginPointer& pending, Result<IntentReply> result) {
  const auto callback = std::exchange(pending->callback, nullptr);
  pending->deadline.reset();
  pending->timer.reset();
  m_pending_begins.erase(pending);
  RecordVerdict(*pending, result);
  if (!result) {
    Error error = result.error();
    error.was_run = WasRun::kNo;
    error.retry_after = error.retry_after.value_or(m_settings.retry_after);
    result = std::move(error);
  }
  if (result && result->verdict == IntentVerdict::kGranted) {
    RememberGrant(*pending);
  } else if (pending->may_be_recorded || pending->in_flight) {
    // An earlier call of this attempt may still be queued at the holder. Reporting the attempt as
    // unused prevents a later grant that nobody would use and that would block the key.
    const IntentRequest& request = pending->request;
    m_reporter->Add({request.partition, request.organisation, request.key, request.request_id, {}},
                    Ignore);
  }
  callback(std::move(result));
}

void OnceCoordinator::RememberGrant(const PendingBegin& pending) {
  const IntentRequest& request = pending.request;
  if (m_grants.size() >= kMaxOpenGrants) {
    m_grants_by_request.erase(m_grants.front().name);
    m_grants.pop_front();
  }
  std::string name = GrantName(request.organisation, request.key, pending.caller_request_id);
  if (const auto older = m_grants_by_request.find(name); older != m_grants_by_request.end()) {
    m_grants.erase(older->second);
  }
  m_grants.push_back({name, request.request_id});
  m_grants_by_request[std::move(name)] = std::prev(m_grants.end());
}

void OnceCoordinator::Report(IntentOutcome outcome, std::function<void(Result<void>)> callback) {
  const auto found =
      m_grants_by_request.find(GrantName(outcome.organisation, outcome.key, outcome.request_id));
  if (found == m_grants_by_request.end()) {
    return callback(MakeError(ErrorKind::kNotFound, "no grant of this request is open here"));
  }
  callback = RecordingOutcome(outcome.request_id, outcome.answer.has_value(), std::move(callback));
  outcome.request_id = found->second->attempt;
  outcome.partition = PartitionOf(outcome.organisation, outcome.key);
  m_grants.erase(found->second);
  m_grants_by_request.erase(found);
  m_reporter->Add(std::move(outcome), std::move(callback));
}

std::size_t OnceCoordinator::PendingReports() const {
  return m_reporter->size();
}

Error OnceCoordinator::Refusal(ErrorKind kind, const char* message) const {
  Error error = MakeError(kind, message);
  error.retry_after = m_settings.retry_after;
  return error;
}

Duration OnceCoordinator::Jittered(Duration duration) {
  return duration / 2 + Duration(RandomBelow(m_random, duration.count()));
}

PartitionRole* OnceCoordinator::RoleOf(std::uint32_t partition) {
  return partition < m_roles.size() ? m_roles[partition].get() : nullptr;
}

std::uint32_t OnceCoordinator::PartitionOf(const OrganisationName& organisation,
                                           const std::string& key) const {
  return static_cast<std::uint32_t>(Hash64(IntentIndex::KeyOf(organisation, key)) % m_roles.size());
}

}  // namespace zinnia
