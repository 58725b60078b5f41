#include "zinnia_adapters/http/answer_parser.h"

#include <boost/beast/http/error.hpp>

#include "zinnia_adapters/http/long_fields.h"

namespace zinnia {

namespace http = boost::beast::http;

void AnswerParser::on_field_impl(http::field name,
                                 boost::beast::string_view name_text,
                                 boost::beast::string_view value,
                                 boost::system::error_code& error) {
  m_has_long_field = LongFields::IsLong(name_text, value);
  if (m_has_long_field) {
    error = http::error::header_limit;
  } else {
    get().insert(name, name_text, value);
  }
}

}  // namespace zinnia
