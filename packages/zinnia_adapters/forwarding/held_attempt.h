#pragma once

#include <boost/beast/http/fields.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "zinnia_adapters/forwarding/server_answer_listener.h"
#include "zinnia_adapters/forwarding/server_attempt.h"
#include "zinnia_decisions/forwarding/event_splitter.h"

namespace zinnia {

/** An attempt whose server is silent, kept open while another server is tried.

    A sound server may be silent for a second and go on, and the other one may turn out to be
    unreachable. Whichever of the two goes on first keeps the request: a server goes on with a whole
    event, or with the whole end of its stream. A refusal, a failure or a broken answer is lost.

    As soon as the held server goes on, `on_word` is called, which must take the attempt and what
   has arrived of its answer back, and returns whether the request still waits for the rest. If the
    answer is lost, `on_lost` is called, with the failure unless the server has answered.
*/
class HeldAttempt final : public ServerAnswerListener {
 public:
  /** What has arrived while the attempt was held. */
  struct Arrived {
    struct Head {
      unsigned status = 0;
      boost::beast::http::fields fields;
    };
    std::optional<Head> head;
    AnswerBody body;
  };

  struct Callbacks {
    /** Whether an answer with this head can be the caller's. */
    std::function<bool(unsigned status, const boost::beast::http::fields& fields)> is_usable;
    std::function<bool()> on_word;
    std::function<void(std::optional<AnswerFailure>)> on_lost;
  };

  /** `events`: of a stream, what has arrived of it; nullopt if the answer comes whole. */
  HeldAttempt(ServerAttempt attempt,
              std::optional<EventSplitter> events,
              std::weak_ptr<ServerAnswerListener> next,
              Callbacks callbacks)
      : m_attempt(std::move(attempt)),
        m_events(std::move(events)),
        m_next(std::move(next)),
        m_callbacks(std::move(callbacks)) {}

  const ServerAttempt& Attempt() const { return m_attempt; }
  ServerAttempt TakeAttempt() { return std::move(m_attempt); }

  /** The server has changed its path, or has refused to. */
  void OnRerouted(std::optional<LayerPath> path);

  Arrived TakeArrived() { return std::move(m_arrived); }

  /** Whether its server has begun an answer that cannot be the caller's. */
  bool IsUseless() const { return m_is_useless; }

  bool OnServerConnected() override;
  void OnServerAnswerHead(unsigned status, const boost::beast::http::fields& fields) override;
  HeldAnswerBytes OnServerAnswerBody(std::string_view bytes) override;
  void OnServerAnswerEnd() override;
  void OnServerFailed(AnswerFailure failure, std::string_view reason) override;
  void OnStepFailed() override;

 private:
  HeldAnswerBytes Held() const;

  ServerAttempt m_attempt;
  std::optional<EventSplitter> m_events;

  Arrived m_arrived;
  bool m_is_useless = false;

  std::weak_ptr<ServerAnswerListener> m_next;
  Callbacks m_callbacks;
};

}  // namespace zinnia
