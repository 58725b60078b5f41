#include "zinnia_adapters/http/message_reading.h"

#include <exception>
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

/** The parser throws if it cannot store what it has read; nobody would hear of it from within the
    read of a socket. */
std::size_t Put(const boost::beast::flat_buffer& buffer,
                http::basic_parser<true>& parser,
                boost::system::error_code& error) {
  try {
    return parser.put(buffer.data(), error);
  } catch (const std::exception&) {
    error = http::error::bad_alloc;
    return 0;
  }
}

}  // namespace

bool IsPartOfLastChunk(const boost::beast::flat_buffer& buffer) {
  const std::string_view bytes(static_cast<const char*>(buffer.data().data()), buffer.size());
  return bytes.size() < kShortestLastChunk.size() && bytes.starts_with('0') &&
         bytes.find("\r\n") != std::string_view::npos;
}

bool HasRead(const http::basic_parser<true>& parser, RequestPart part) {
  return part == RequestPart::kHead ? parser.is_header_done() : parser.is_done();
}

boost::system::error_code ParseRequest(boost::beast::flat_buffer& buffer,
                                       http::basic_parser<true>& parser,
                                       RequestPart part) {
  boost::system::error_code error;
  while (buffer.size() > 0 && !HasRead(parser, part) && !MustWaitForLastChunk(buffer, parser)) {
    const std::size_t used = Put(buffer, parser, error);
    buffer.consume(used);
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      return error;
    }
  }
  const bool is_line_too_long = part == RequestPart::kWhole && parser.is_header_done() &&
                                !parser.is_done() && buffer.size() > kMostLineBytes;
  return is_line_too_long ? http::error::header_limit : boost::system::error_code();
}

}  // namespace zinnia
