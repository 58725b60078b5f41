#include "zinnia_adapters/http/message_reading.h"

#include <string_view>

namespace zinnia {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kShortestLastChunk = "0\r\n\r\n";

/** Of the line before a chunk, or of the trailer section. */
constexpr std::size_t kMostLineBytes = 16'384;

/** A body with a length may hold the same bytes, and nothing may come behind them. */
bool MustWaitForLastChunk(const boost::beast::flat_buffer& buffer,
                          const http::basic_parser<true>& parser) {
  return parser.is_header_done() && parser.chunked() && IsPartOfLastChunk(buffer);
}

}  // namespace

bool IsPartOfLastChunk(const boost::beast::flat_buffer& buffer) {
  const std::string_view bytes(static_cast<const char*>(buffer.data().data()), buffer.size());
  return bytes.size() < kShortestLastChunk.size() && bytes.starts_with('0') &&
         bytes.find("\r\n") != std::string_view::npos;
}

boost::system::error_code ParseRequest(boost::beast::flat_buffer& buffer,
                                       http::basic_parser<true>& parser) {
  boost::system::error_code error;
  while (buffer.size() > 0 && !parser.is_done() && !MustWaitForLastChunk(buffer, parser)) {
    const std::size_t used = parser.put(buffer.data(), error);
    buffer.consume(used);
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      return error;
    }
  }
  const bool is_line_too_long =
      parser.is_header_done() && !parser.is_done() && buffer.size() > kMostLineBytes;
  return is_line_too_long ? http::error::header_limit : boost::system::error_code();
}

}  // namespace zinnia
