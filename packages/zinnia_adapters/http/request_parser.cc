#include "zinnia_adapters/http/request_parser.h"

#include <boost/beast/http/error.hpp>
#include <utility>

namespace zinnia {

namespace http = boost::beast::http;

RequestMessage RequestParser::ReleaseRequest() {
  RequestMessage request;
  static_cast<http::request<http::string_body>&>(request) = release();
  request.long_fields = std::move(m_long_fields);
  return request;
}

void RequestParser::on_field_impl(http::field name,
                                  boost::beast::string_view name_text,
                                  boost::beast::string_view value,
                                  boost::system::error_code& error) {
  if (!LongFields::IsLong(name_text, value)) {
    get().insert(name, name_text, value);
  } else if (name == http::field::connection) {
    error = http::error::bad_value;  // What it names could not be kept from servers.
  } else {
    m_long_fields.Add(get(), name_text, value);
  }
}

}  // namespace zinnia
