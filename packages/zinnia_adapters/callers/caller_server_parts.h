#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinnia_adapters/callers/caller_limits.h"
#include "zinnia_decisions/sessions/session_driver.h"

namespace zinnia {

class AdmissionController;
class AnswerListener;
class Logger;
class Metrics;
class OnceGate;

/** Makes the driver of one session; SessionDriver::Create in programs. */
using SessionFactory = std::function<std::shared_ptr<SessionDriver>(SessionParts,
                                                                    SessionName,
                                                                    ChatRequest,
                                                                    std::optional<ResumePoint>,
                                                                    std::weak_ptr<AnswerListener>)>;

/** What the caller server of one traffic thread works with. All objects belong to that thread, or
    are safe to use from any, and must outlive the server and the loop's last run. */
struct CallerServerParts {
  boost::asio::io_context& loop;
  Clock& clock;
  Scheduler& scheduler;
  SnapshotSource& snapshots;
  AdmissionController& admission;
  RecoveryGate& recovery_gate;
  OnceGate& once_gate;
  PipelineChooser& chooser;
  StageLinks& links;
  const ResumeTokenCodec& resume_tokens;
  DecisionRecorder& recorder;
  Metrics& metrics;
  Logger& logger;
  CallerLimits limits;

  /** Reasons why this instance is not ready; none: it is. Called on the traffic thread. */
  std::function<std::vector<std::string>()> not_ready_reasons;

  SessionFactory create_session;

  /** Unique over instances, restarts and threads; begins every session's and request's name. */
  std::string name_prefix;

  /** Seeds the answers whose callers give no seed. */
  std::uint64_t random_seed = 0;
};

}  // namespace zinnia
