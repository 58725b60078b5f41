#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <string_view>

namespace zinnia {

/** How a server's answer failed. kNotSent: no byte of the request was sent. kRefused: the same, as
    nobody accepts connections at the server's address. kWithdrawn: the same, as the listener no
    longer wanted it sent. kBroken: the answer ended early or is not valid HTTP, and the request may
    have run. */
enum class AnswerFailure { kNotSent, kRefused, kWithdrawn, kBroken };

/** What a listener holds of an answer that is still arriving. */
struct HeldAnswerBytes {
  std::size_t all = 0;

  /** Of a stream, of the event whose end has not arrived yet. */
  std::size_t unfinished_event = 0;
};

/** Receives a server's answer as it arrives. OnServerAnswerEnd, OnServerFailed or OnStepFailed is
   the last call. */
class ServerAnswerListener {
 public:
  virtual ~ServerAnswerListener() = default;

  /** A new connection is open, and the request is about to be written. Returns whether it shall be,
      since connecting takes time; otherwise OnServerFailed follows with kWithdrawn. */
  virtual bool OnServerConnected() = 0;
  virtual void OnServerAnswerHead(unsigned status, const boost::beast::http::fields& fields) = 0;
  virtual HeldAnswerBytes OnServerAnswerBody(std::string_view bytes) = 0;
  virtual void OnServerAnswerEnd() = 0;
  virtual void OnServerFailed(AnswerFailure failure, std::string_view reason) = 0;

  /** One of these calls, or the reading of the answer, has thrown an exception. The connection is
      closed. */
  virtual void OnStepFailed() = 0;
};

}  // namespace zinnia
