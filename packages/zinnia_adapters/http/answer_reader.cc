#include "zinnia_adapters/http/answer_reader.h"

#include <fmt/format.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "zinnia_adapters/http/long_fields.h"
#include "zinnia_adapters/http/message_reading.h"

namespace zinnia {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

/** Nobody asks servers to change the protocol. */
constexpr unsigned kSwitchingProtocols = 101;

constexpr unsigned kHttp11 = 11;

AnswerFault Beyond(AnswerFaultKind bound, std::size_t limit) {
  return {bound, fmt::format("more than {} = {}", NameOf(bound), limit)};
}

AnswerFault FaultOf(const boost::system::error_code& error, const AnswerLimits& limits) {
  if (error == http::error::header_limit) {
    return Beyond(AnswerFaultKind::kHeadTooLong, limits.head_bytes);
  }
  const bool is_cut_short =
      error == http::error::partial_message || error == http::error::end_of_stream;
  return {is_cut_short ? AnswerFaultKind::kCutShort : AnswerFaultKind::kMalformed, error.message()};
}

/** Other codings than chunks would be handed on as if they were the body. */
bool HasUnknownEncoding(const http::response_header<>& head) {
  const auto fields = head.equal_range(http::field::transfer_encoding);
  if (fields.first == fields.second) {
    return false;
  }
  const bool is_single = std::next(fields.first) == fields.second;
  return !is_single || head.version() < kHttp11 ||
         !boost::beast::iequals(fields.first->value(), "chunked");
}

}  // namespace

AnswerReader::AnswerReader(const AnswerLimits& limits, bool is_head_request)
    : m_limits(limits), m_is_head_request(is_head_request) {
  StartHead();
}

void AnswerReader::StartHead() {
  m_parser.emplace();
  m_parser->header_limit(static_cast<std::uint32_t>(m_limits.head_bytes));
  m_parser->body_limit(boost::none);
  m_parser->eager(false);  // Until the head is out: trailers are added to the same fields.
  m_parser->skip(m_is_head_request);
}

std::optional<AnswerFault> AnswerReader::Read(boost::beast::flat_buffer& buffer) {
  while (buffer.size() > 0 && !IsDone()) {
    if (m_has_head && m_parser->chunked() && IsPartOfLastChunk(buffer)) {
      break;
    }
    const std::size_t before = buffer.size();
    if (auto fault = ReadPart(buffer)) {
      return fault;
    }
    if (buffer.size() == before) {
      break;  // An unfinished line: more bytes are needed.
    }
  }
  return IsDone() ? std::nullopt : CheckBounds(buffer.size());
}

std::optional<AnswerFault> AnswerReader::ReadPart(boost::beast::flat_buffer& buffer) {
  boost::system::error_code error;
  const std::size_t used = m_parser->put(buffer.data(), error);
  buffer.consume(used);
  if (m_parser->HasLongField()) {
    return AnswerFault{AnswerFaultKind::kHeadTooLong, fmt::format("a field of more than {} bytes",
                                                                  LongFields::kMostContainerBytes)};
  }
  if (error && error != http::error::need_more) {
    return FaultOf(error, m_limits);
  }
  if (m_has_head) {
    return std::nullopt;
  }
  m_unfinished_head_bytes += used;
  return m_parser->is_header_done() ? CheckHead() : std::nullopt;
}

/** Starts anew after an interim head. */
std::optional<AnswerFault> AnswerReader::CheckHead() {
  const unsigned status = m_parser->get().result_int();
  if (status < kFirstStatus || status > kLastStatus || status == kSwitchingProtocols) {
    return AnswerFault{AnswerFaultKind::kUnexpectedStatus, fmt::format("status {}", status)};
  }
  if (status >= kFirstFinalStatus) {
    m_has_head = true;
    m_head = std::move(m_parser->get().base());
    m_parser->eager(true);
    if (HasUnknownEncoding(m_head)) {
      return AnswerFault{AnswerFaultKind::kUnknownEncoding,
                         "a transfer encoding other than chunked"};
    }
    const auto length = m_parser->content_length();
    if (!m_is_head_request && length && *length > m_limits.body_bytes) {
      return Beyond(AnswerFaultKind::kBodyTooLong, m_limits.body_bytes);
    }
    return std::nullopt;
  }
  if (++m_interim_heads > m_limits.interim_heads) {
    return Beyond(AnswerFaultKind::kTooManyInterimHeads, m_limits.interim_heads);
  }
  m_interim_bytes += std::exchange(m_unfinished_head_bytes, 0);
  if (m_interim_bytes > m_limits.interim_bytes) {
    return Beyond(AnswerFaultKind::kInterimHeadsTooLong, m_limits.interim_bytes);
  }
  StartHead();
  return std::nullopt;
}

std::optional<AnswerFault> AnswerReader::CheckBounds(std::size_t unread) {
  if (!m_has_head) {
    return std::nullopt;  // The parser bounds heads itself.
  }
  if (unread > m_limits.line_bytes) {
    return Beyond(AnswerFaultKind::kLineTooLong, m_limits.line_bytes);
  }
  if (m_body_bytes + m_parser->get().body().size() > m_limits.body_bytes) {
    return Beyond(AnswerFaultKind::kBodyTooLong, m_limits.body_bytes);
  }
  return std::nullopt;
}

std::optional<AnswerFault> AnswerReader::ReadEnd() {
  boost::system::error_code error;
  if (!m_parser->got_some()) {
    return AnswerFault{AnswerFaultKind::kCutShort, "the connection ended before the answer"};
  }
  m_parser->put_eof(error);
  if (error) {
    return FaultOf(error, m_limits);
  }
  return std::nullopt;
}

std::string AnswerReader::TakeBody() {
  std::string bytes = std::exchange(m_parser->get().body(), {});
  m_body_bytes += bytes.size();
  return bytes;
}

}  // namespace zinnia
