#pragma once

#include <string>
#include <string_view>

#include "zinnia_adapters/callers/problem_document.h"

namespace zinnia {

/** Where an exchange puts its answer: either one whole response, or a stream of server-sent events.

    @see CallerExchange, CallerConnection
*/
class Responder {
 public:
  virtual ~Responder() = default;

  virtual void SendWhole(CallerResponse response) = 0;

  /** Starts the stream; its status is 200 from here on. */
  virtual void StartEvents(const std::string& request_id) = 0;

  /** Appends events. If the caller reads so slowly that too much waits, the caller is cut off and
      the exchange told by OnCallerGone before this returns. */
  virtual void SendEvents(std::string_view events) = 0;

  virtual void EndEvents() = 0;
};

}  // namespace zinnia
