#pragma once

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <string>
#include <string_view>

#include "zinnia_adapters/callers/problem_document.h"

namespace zinnia {

/** Status and fields of a streamed answer. Framing fields are set by the responder. */
using StreamHead = boost::beast::http::response<boost::beast::http::empty_body>;

/** Where an exchange puts its answer: either one whole response, or a stream of server-sent events.

    @see CallerExchange, CallerConnection
*/
class Responder {
 public:
  virtual ~Responder() = default;

  /** Whether the caller still waits, as its connection shows now: its leaving may not have been
     told to the exchange yet. */
  virtual bool IsCallerThere() = 0;

  virtual void SendWhole(CallerResponse response) = 0;

  /** Starts the stream; its status is 200 from here on. */
  virtual void StartEvents(const std::string& request_id) = 0;

  /** Starts a stream whose head another server gave. */
  virtual void StartStream(StreamHead head) = 0;

  /** Appends events. If the caller reads so slowly that too much waits, the caller is cut off and
      the exchange told by OnCallerGone before this returns. */
  virtual void SendEvents(std::string_view events) = 0;

  virtual void EndEvents() = 0;

  /** Closes the connection in the middle of the answer, so that it cannot be taken for a whole one.
      The exchange hears no more. */
  virtual void CutOff() = 0;
};

}  // namespace zinnia
