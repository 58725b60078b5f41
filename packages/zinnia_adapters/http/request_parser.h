#pragma once

#include <boost/beast/http/parser.hpp>

#include "zinnia_adapters/http/request_message.h"

namespace zinnia {

/** The library's parser of requests, for header fields of any length within the limit of the whole
    head. */
class RequestParser final
    : public boost::beast::http::request_parser<boost::beast::http::string_body> {
 public:
  /** Moves the request out. Call it once. */
  RequestMessage ReleaseRequest();

 private:
  void on_field_impl(boost::beast::http::field name,
                     boost::beast::string_view name_text,
                     boost::beast::string_view value,
                     boost::system::error_code& error) override;

  LongFields m_long_fields;
};

}  // namespace zinnia
