#include "zinnia_decisions/once/outcome_reporter.h"

#include <algorithm>
#include <utility>

#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/membership/membership_view.h"
#include "zinnia_decisions/once/alive_guard.h"
#include "zinnia_decisions/ports/peer_transport.h"

namespace zinnia {
namespace {

constexpr std::chrono::milliseconds kFirstPause{50};
constexpr std::chrono::milliseconds kLongestPause{2'000};

/** Returns whether retrying cannot change the result. */
bool IsFinal(const Result<void>& result) {
  return result || result.error().kind == ErrorKind::kNotFound;
}

}  // namespace

struct OutcomeReporter::Report {
  IntentOutcome outcome;
  Callback callback;
  TimePoint give_up_at;
  std::chrono::milliseconds pause = kFirstPause;
  std::uint32_t peers_offered = 0;
  bool needs_refresh = false;
  std::unique_ptr<ScheduledCall> timer;
};

OutcomeReporter::OutcomeReporter(const OnceParts& parts,
                                 const OnceSettings& settings,
                                 std::function<PartitionRole*(std::uint32_t)> role_of,
                                 std::uint64_t seed)
    : m_parts(parts), m_settings(settings), m_role_of(std::move(role_of)), m_random(seed) {}

OutcomeReporter::~OutcomeReporter() = default;

void OutcomeReporter::Add(IntentOutcome outcome, Callback callback) {
  if (m_reports.size() >= m_settings.most_reports) {
    return callback(MakeError(ErrorKind::kOverloaded, "too many outcomes wait to be recorded"));
  }
  auto report = std::make_shared<Report>();
  report->outcome = std::move(outcome);
  report->callback = std::move(callback);
  report->give_up_at = m_parts.clock.Now() + m_settings.report_for;
  m_reports.push_back(report);
  Offer(report);
}

void OutcomeReporter::Offer(const ReportPointer& report) {
  PartitionRole* role = m_role_of(report->outcome.partition);
  if (role == nullptr) {
    return OfferLater(report);
  }
  const auto offered_to = [this, &report](const Instance& target) {
    return WhileAlive(m_alive, [this, report, target](const Result<void>& result) {
      OnOffered(report, target, result);
    });
  };
  if (PartitionHolder* holder = role->Holder()) {
    return holder->Report(report->outcome, offered_to(m_parts.membership.Self()));
  }
  // Alternates between the head's holder and the preferred instance, as OnceCoordinator does.
  const std::optional<Instance> target = role->Target(report->peers_offered % 2 == 0);
  if (target && !std::exchange(report->needs_refresh, false)) {
    report->peers_offered += 1;
    const auto offered = offered_to(*target);
    return m_parts.peers.ReportOutcome(target->peer_address, report->outcome, offered);
  }
  role->Refresh(WhileAlive(m_alive, [this, report](const Result<void>&) { OfferLater(report); }));
}

void OutcomeReporter::OnOffered(const ReportPointer& report,
                                const Instance& target,
                                const Result<void>& result) {
  // A target that cannot be reached or does not hold the partition counts as a failed holder.
  PartitionRole* role = m_role_of(report->outcome.partition);
  const ErrorKind kind = result ? ErrorKind::kNotFound : result.error().kind;
  if (kind == ErrorKind::kStaleEpoch || kind == ErrorKind::kPeerUnavailable) {
    role->NoteCallFailure(target, m_parts.clock.Now(), true);
  } else if (result) {
    role->NoteCallSuccess();
  }
  if (IsFinal(result) || m_parts.clock.Now() >= report->give_up_at) {
    return Finish(report, result);
  }
  report->needs_refresh = true;
  OfferLater(report);
}

void OutcomeReporter::OfferLater(const ReportPointer& report) {
  const auto jitter = Duration(RandomBelow(m_random, Duration(report->pause).count()));
  report->timer = m_parts.scheduler.ScheduleAfter(report->pause / 2 + jitter,
                                                  [this, weak = std::weak_ptr<Report>(report)] {
                                                    if (const ReportPointer pending = weak.lock()) {
                                                      Offer(pending);
                                                    }
                                                  });
  report->pause = std::min(report->pause * 2, kLongestPause);
}

void OutcomeReporter::Finish(const ReportPointer& report, const Result<void>& result) {
  const auto callback = std::exchange(report->callback, nullptr);
  m_reports.remove(report);
  if (callback) {
    callback(result);
  }
}

}  // namespace zinnia
