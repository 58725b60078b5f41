#include <fmt/format.h>

#include <utility>

#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_decisions/once/once_coordinator.h"
#include "zinnia_decisions/once/pending_begin.h"

/** The part of OnceCoordinator that writes decision records. The number of records per request is
    bounded, and they are written only on the instance that received the request. */
namespace zinnia {
namespace {

struct VerdictText {
  const char* decision;
  const char* reason;
};

VerdictText TextOf(IntentVerdict verdict) {
  switch (verdict) {
    case IntentVerdict::kGranted:
      return {"grant_once", "the key was free and the intent is durable"};
    case IntentVerdict::kAnswered:
      return {"give_recorded_answer", "a request with this key ran before and its answer is known"};
    case IntentVerdict::kStarted:
      return {"refuse_once", "a request with this key was granted before, its outcome is unknown"};
    case IntentVerdict::kKeyReused:
      break;
  }
  return {"refuse_once", "the key stands for another request"};
}

std::string Subject(const std::string& request_id) {
  return "request " + request_id;
}

std::string Milliseconds(Duration duration) {
  return fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(duration).count());
}

}  // namespace

std::string OnceCoordinator::HolderName(std::uint32_t partition) {
  PartitionRole* role = RoleOf(partition);
  if (role->Holder() != nullptr) {
    return m_parts.membership.Self().name;
  }
  return role->KnownHead() ? role->KnownHead()->holder.name : "not_known_yet";
}

void OnceCoordinator::RecordBegin(const PendingBegin& pending) {
  m_parts.recorder.Record({m_parts.clock.Now(),
                           Subject(pending.caller_request_id),
                           "begin_once",
                           "the request carries an idempotency key and may run at most once",
                           {{"partition", std::to_string(pending.request.partition)},
                            {"holder", HolderName(pending.request.partition)}}});
}

void OnceCoordinator::RecordVerdict(const PendingBegin& pending,
                                    const Result<IntentReply>& result) {
  const VerdictText text = result ? TextOf(result->verdict) : VerdictText{"refuse_once", ""};
  DecisionRecord record{m_parts.clock.Now(),
                        Subject(pending.caller_request_id),
                        text.decision,
                        result ? text.reason : result.error().message,
                        {{"commit_wait_ms", Milliseconds(m_parts.clock.Now() - pending.begun_at)},
                         {"rounds", std::to_string(pending.round)},
                         {"holder", HolderName(pending.request.partition)}}};
  if (result) {
    record.facts.emplace_back("epoch", std::to_string(result->epoch));
  } else {
    record.facts.emplace_back("error", std::string(NameOf(result.error().kind)));
  }
  m_parts.recorder.Record(std::move(record));
}

void OnceCoordinator::RecordRefusal(const std::string& request_id, const Error& error) {
  m_parts.recorder.Record({m_parts.clock.Now(),
                           Subject(request_id),
                           "refuse_once",
                           error.message,
                           {{"error", std::string(NameOf(error.kind))}}});
}

/** Returns a callback that writes a decision record about the outcome and then calls `callback`. */
std::function<void(Result<void>)> OnceCoordinator::RecordingOutcome(
    const std::string& request_id,
    bool has_answer,
    std::function<void(Result<void>)> callback) {
  return
      [this, request_id, has_answer, callback = std::move(callback)](const Result<void>& result) {
        DecisionRecord record{m_parts.clock.Now(),
                              Subject(request_id),
                              "record_outcome",
                              "the answer is durable and is given to whoever repeats the key",
                              {}};
        if (!result) {
          record.decision = "give_up_outcome";
          record.reason = result.error().message;
          record.facts.emplace_back("error", std::string(NameOf(result.error().kind)));
        } else if (!has_answer) {
          record.decision = "free_key";
          record.reason = "the grant was not used, so the key may be granted again";
        }
        m_parts.recorder.Record(std::move(record));
        callback(result);
      };
}

}  // namespace zinnia
