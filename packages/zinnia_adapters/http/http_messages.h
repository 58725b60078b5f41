#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/system/result.hpp>

namespace zinnia {

using HttpHeader = std::pair<std::string, std::string>;

/** A request of HttpClient. Host, Content-Length and Connection are added by the client. */
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;

  /** The request may reach the server twice without harm. The client then sends it again, once, if
      a kept connection turns out to be closed before any byte of the answer came. */
  bool repeatable = false;
};

struct HttpResponse {
  unsigned status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

/** How far a failed exchange came. kNotSent is a promise: no byte of the request left this process.
    kNoAnswer: the server may have run it. kBadAnswer: an answer came that is not HTTP or is over
   the bound; the server may have run it as well. */
enum class HttpFailureStage { kNotSent, kNoAnswer, kBadAnswer };

constexpr std::string_view NameOf(HttpFailureStage stage) {
  switch (stage) {
    case HttpFailureStage::kNotSent:
      return "not_sent";
    case HttpFailureStage::kNoAnswer:
      return "no_answer";
    case HttpFailureStage::kBadAnswer:
      break;
  }
  return "bad_answer";
}

/** Why an exchange gave no response. */
struct HttpFailure {
  HttpFailureStage stage = HttpFailureStage::kNotSent;
  std::string message;
};

using HttpResult = boost::system::result<HttpResponse, HttpFailure>;

[[noreturn]] void throw_exception_from_error(const HttpFailure& failure,
                                             const boost::source_location&);

}  // namespace zinnia
