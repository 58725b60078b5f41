#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "zinnia_adapters/callers/responder.h"

namespace zinnia {

class Logger;
class Metrics;

/** How far the answer to a caller has got. */
enum class AnswerState { kNothingSent, kStreamBegun, kEnded };

std::string_view NameOf(AnswerState state);

/** The one answer to a caller: a whole response, or a stream that ends whole or is cut off.

    Knows what the caller has got so far, and lets nothing through that does not fit it: a whole
    response after the beginning of a stream would be read as a part of the stream, and anything
    after the end as the answer to the caller's next request. Such a call is a mistake; it cuts a
    begun stream off, and is logged.

    Not thread-safe.
*/
class CallerAnswer {
 public:
  CallerAnswer(std::shared_ptr<Responder> responder, Logger& logger, Metrics& metrics);

  AnswerState State() const { return m_state; }
  bool HasBegun() const { return m_state == AnswerState::kStreamBegun; }

  /** Names the request in log lines. */
  void SetRequestId(const std::string& request_id) { m_request_id = request_id; }

  /** Asks the connection, see Responder::IsCallerThere. */
  bool IsCallerThere() const { return m_responder->IsCallerThere(); }

  /** Returns false if the answer had begun already; a begun stream is cut off then. */
  bool SendWhole(CallerResponse response);

  /** Does nothing if the stream has begun: it keeps its first head. */
  void StartStream(StreamHead head);

  void SendEvents(std::string_view events);

  /** The stream is complete. */
  void EndStream();

  /** Closes the connection in the middle of the stream. */
  void CutOff();

 private:
  void Reject(std::string_view call);

  const std::shared_ptr<Responder> m_responder;
  Logger& m_logger;
  Metrics& m_metrics;
  std::string m_request_id;
  AnswerState m_state = AnswerState::kNothingSent;
};

}  // namespace zinnia
