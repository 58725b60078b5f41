#pragma once

#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace zinnia {

/** How a server's answer failed. kNotSent promises that no byte of the request left. kBroken: it
    ended early or is not HTTP; the request may have run. */
enum class AnswerFailure { kNotSent, kBroken };

/** Hears the answer of a server as it arrives. After OnServerAnswerEnd or OnServerFailed nothing
    more comes. */
class ServerAnswerListener {
 public:
  virtual ~ServerAnswerListener() = default;
  virtual void OnServerAnswerHead(unsigned status, const boost::beast::http::fields& fields) = 0;
  virtual void OnServerAnswerBody(std::string_view bytes) = 0;
  virtual void OnServerAnswerEnd() = 0;
  virtual void OnServerFailed(AnswerFailure failure, std::string_view reason) = 0;
};

}  // namespace zinnia
