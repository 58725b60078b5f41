#pragma once

#include <boost/beast/http/fields.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "zinnia_adapters/forwarding/server_answer_listener.h"
#include "zinnia_adapters/forwarding/server_attempt.h"
#include "zinnia_decisions/forwarding/event_splitter.h"

namespace zinnia {

/** An attempt whose server is silent, kept open while another server is tried.

    A sound server may be silent for a second and go on, and the other one may turn out to be
    unreachable. Whichever of the two speaks first keeps the request.

    As soon as the held server speaks, `on_word` is called, which must take the attempt back; what
    it said then goes to `next`. If its connection ends, `on_lost` is called.
*/
class HeldAttempt final : public ServerAnswerListener {
 public:
  HeldAttempt(ServerAttempt attempt,
              EventSplitter events,
              std::weak_ptr<ServerAnswerListener> next,
              std::function<void()> on_word,
              std::function<void(AnswerFailure)> on_lost)
      : m_attempt(std::move(attempt)),
        m_events(std::move(events)),
        m_next(std::move(next)),
        m_on_word(std::move(on_word)),
        m_on_lost(std::move(on_lost)) {}

  const ServerAttempt& Attempt() const { return m_attempt; }
  ServerAttempt TakeAttempt() { return std::move(m_attempt); }

  /** The part of an event that had arrived. */
  const EventSplitter& Events() const { return m_events; }

  bool OnServerConnected() override;
  void OnServerAnswerHead(unsigned status, const boost::beast::http::fields& fields) override;
  void OnServerAnswerBody(std::string_view bytes) override;
  void OnServerAnswerEnd() override;
  void OnServerFailed(AnswerFailure failure, std::string_view reason) override;

 private:
  ServerAttempt m_attempt;
  EventSplitter m_events;
  std::weak_ptr<ServerAnswerListener> m_next;
  std::function<void()> m_on_word;
  std::function<void(AnswerFailure)> m_on_lost;
};

}  // namespace zinnia
