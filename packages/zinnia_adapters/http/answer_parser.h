#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace zinnia {

/** The library's parser of answers, which refuses header fields for which that would throw an
    exception. */
class AnswerParser final
    : public boost::beast::http::response_parser<boost::beast::http::string_body> {
 public:
  /** Whether a field was refused as longer than LongFields::kMostContainerBytes. */
  bool HasLongField() const { return m_has_long_field; }

 private:
  void on_field_impl(boost::beast::http::field name,
                     boost::beast::string_view name_text,
                     boost::beast::string_view value,
                     boost::system::error_code& error) override;

  bool m_has_long_field = false;
};

}  // namespace zinnia
