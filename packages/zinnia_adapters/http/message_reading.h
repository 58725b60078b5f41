#pragma once

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <utility>

namespace zinnia {

/** Whether the buffer may hold the beginning of the last chunk of a body. The library's parser
    aborts the process if it sees less than a whole one twice, behind an empty body. Waiting for the
    rest holds nothing of a body in chunks back; ask only for those, as behind the same bytes of a
    body with a length nothing may come. */
bool IsPartOfLastChunk(const boost::beast::flat_buffer& buffer);

/** How much of a request is read. */
enum class RequestPart { kHead, kWhole };

/** Parses what is in the buffer as far as it goes, up to the end of the part. Fails with
    header_limit if a line of a chunk or the trailer is too long. */
boost::system::error_code ParseRequest(boost::beast::flat_buffer& buffer,
                                       boost::beast::http::basic_parser<true>& parser,
                                       RequestPart part);

/** Whether nothing more has to be read for the part. */
bool HasRead(const boost::beast::http::basic_parser<true>& parser, RequestPart part);

/** Reads a request up to the end of the part, as async_read of the library does, which aborts the
    process where IsPartOfLastChunk says, does not bound the lines of chunks, and lets exceptions of
    the parser out of the read.

    `handler` gets an error_code, never from inside the first call. Stream, buffer and parser must
    live until then: let the handler own them.
*/
template <typename Stream, typename Parser, typename Handler>
void ReadRequest(Stream& stream,
                 boost::beast::flat_buffer& buffer,
                 Parser& parser,
                 RequestPart part,
                 Handler handler) {
  constexpr std::size_t kReadBytes = 16'384;
  parser.eager(part == RequestPart::kWhole);
  const boost::system::error_code parsed = ParseRequest(buffer, parser, part);
  if (parsed || HasRead(parser, part)) {
    boost::asio::post(stream.get_executor(),
                      [handler = std::move(handler), parsed]() mutable { handler(parsed); });
    return;
  }
  stream.async_read_some(buffer.prepare(kReadBytes),
                         [&stream, &buffer, &parser, part, handler = std::move(handler)](
                             boost::system::error_code error, std::size_t bytes) mutable {
                           buffer.commit(bytes);
                           if (error == boost::asio::error::eof) {
                             error = boost::beast::http::error::end_of_stream;
                             if (parser.got_some()) {
                               parser.put_eof(error);
                             }
                           }
                           if (error) {
                             handler(error);
                           } else {
                             ReadRequest(stream, buffer, parser, part, std::move(handler));
                           }
                         });
}

}  // namespace zinnia
