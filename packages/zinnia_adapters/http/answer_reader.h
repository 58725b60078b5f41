#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "zinnia_adapters/http/answer_fault.h"
#include "zinnia_adapters/http/answer_limits.h"
#include "zinnia_adapters/http/answer_parser.h"

namespace zinnia {

/** Reads the answer of an HTTP/1.1 server to one request, as its bytes arrive. It has no socket.

    It alone decides what is an answer in the protocol: a head with a final status, which interim
    heads may precede, and a body whose end the framing tells. Interim heads are read over. What a
    parser calls a complete message is not enough: it takes an interim head for one.

    The body is handed out as it arrives, so that streams are not held back. Create a reader for
    each request; after a fault it must not be used any more.
*/
class AnswerReader {
 public:
  using Fields = boost::beast::http::fields;

  /** `is_head_request`: the answer has no body, whatever its head says. */
  AnswerReader(const AnswerLimits& limits, bool is_head_request);

  /** Reads on, and removes from the buffer what belongs to the answer. Bytes that stay there once
      IsDone returns true belong to no request. */
  std::optional<AnswerFault> Read(boost::beast::flat_buffer& buffer);

  /** The server has ended the connection, which ends an answer without a length. */
  std::optional<AnswerFault> ReadEnd();

  /** Whether the final head has arrived. Call Status, Fields and KeepsConnection only then. */
  bool HasHead() const { return m_has_head; }
  unsigned Status() const { return m_head.result_int(); }

  /** Without the fields of the trailer section, which are dropped. */
  const Fields& Head() const { return m_head; }
  bool KeepsConnection() const { return m_parser->keep_alive(); }

  /** Returns the bytes of the body that have arrived since the last call. */
  std::string TakeBody();

  bool IsDone() const { return m_has_head && m_parser->is_done(); }

 private:
  void StartHead();
  std::optional<AnswerFault> ReadPart(boost::beast::flat_buffer& buffer);
  std::optional<AnswerFault> CheckHead();
  std::optional<AnswerFault> CheckBounds(std::size_t unread);

  const AnswerLimits m_limits;
  const bool m_is_head_request;
  std::optional<AnswerParser> m_parser;
  boost::beast::http::response_header<> m_head;
  bool m_has_head = false;
  std::size_t m_unfinished_head_bytes = 0;
  std::size_t m_interim_heads = 0;
  std::size_t m_interim_bytes = 0;
  std::size_t m_body_bytes = 0;
};

}  // namespace zinnia
