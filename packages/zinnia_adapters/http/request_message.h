#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "zinnia_adapters/http/long_fields.h"

namespace zinnia {

/** An HTTP/1.1 request whose header fields may have any length. */
struct RequestMessage : boost::beast::http::request<boost::beast::http::string_body> {
  /** Request line and all fields, with the empty line behind them. */
  std::string HeadText() const;

  LongFields long_fields;
};

}  // namespace zinnia
