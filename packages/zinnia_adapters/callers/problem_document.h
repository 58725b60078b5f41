#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "zinnia_adapters/http/problem_status.h"
#include "zinnia_adapters/http/request_message.h"
#include "zinnia_base/errors/error.h"

namespace zinnia {

using CallerRequest = RequestMessage;
using CallerResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** The error with a time to come back, if its kind has one and it has none yet. */
Error WithRetryAfter(Error error);

/** The error as an RFC 7807 problem: {type, title, status, kind, detail, remedy, was_run,
    retry_after_ms?}. One line, so that it fits into a data field of an event. */
std::string ProblemJson(const Error& error);

/** A whole answer with the problem, the fitting status and Retry-After in seconds, rounded up. */
CallerResponse MakeProblemResponse(const Error& error);

CallerResponse MakeJsonResponse(unsigned status, std::string body);

}  // namespace zinnia
