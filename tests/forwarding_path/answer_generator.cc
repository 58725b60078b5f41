#include "tests/forwarding_path/answer_generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>

namespace zinnia {
namespace {

constexpr std::size_t kMostBody = 3'000;
constexpr std::size_t kPourPiece = std::size_t{64} << 10;
constexpr std::size_t kMostPoured = std::size_t{24} << 20;
constexpr std::size_t kMostPouredBody = std::size_t{64} << 20;

std::string Repeated(std::string_view text, std::size_t bytes) {
  std::string all;
  while (all.size() < bytes) {
    all += text;
  }
  return all;
}

}  // namespace

int AnswerGenerator::EventCount(const std::string& id) {
  return 1 + static_cast<int>(std::hash<std::string>()(id) % 5);
}

std::string AnswerGenerator::Events(const std::string& id, int first, int last) {
  std::string events;
  for (int event = first; event <= last; ++event) {
    events += fmt::format("id: {}\ndata: {}{} e{}\n\n", event, kMark, id, event);
  }
  return events;
}

GeneratedAnswer AnswerGenerator::Draw(RequestKind kind,
                                      const std::string& id,
                                      int attempt,
                                      int last_event) {
  m_answer = {};
  m_answer.attempt = fmt::format("{}/{}", id, attempt);
  m_id = id;
  m_kind = kind;
  m_interim.clear();
  DrawStatus();
  DrawBody(last_event);
  DrawHead();
  m_bytes.reset();
  if (!OneIn(3)) {
    Mutate();
  }
  Split(m_bytes.value_or(Whole()));
  return m_answer;
}

void AnswerGenerator::DrawStatus() {
  static constexpr std::array kSuccesses = {200U, 200U, 200U, 201U, 204U};
  static constexpr std::array kFailures = {304U, 400U, 404U, 422U, 500U, 502U, 503U, 599U};
  static constexpr std::array kRefusals = {503U, 429U, 421U, 408U};
  switch (Below(6)) {
    case 0:
      m_answer.status = OneOf(kFailures);
      m_answer.is_signed = OneIn(2);
      break;
    case 1:
      m_answer.status = OneOf(kRefusals);
      m_answer.is_signed = OneIn(2);
      m_answer.is_refusal = true;
      break;
    default:
      m_answer.status = OneOf(kSuccesses);
  }
  m_answer.name = fmt::format("{}{}", m_answer.status, m_answer.is_refusal ? " not run" : "");
}

void AnswerGenerator::DrawBody(int last_event) {
  const bool has_body = m_answer.status != 204 && m_answer.status != 304;
  const bool is_success = m_answer.status < 300;
  m_first_event = last_event + 1;
  if (!has_body) {
    m_framing = Framing::kNone;
    m_sent_body.clear();
    m_answer.body.clear();
    return;
  }
  static constexpr std::array kFramings = {Framing::kLength, Framing::kLength, Framing::kChunks,
                                           Framing::kChunks, Framing::kUntilEnd};
  m_framing = OneOf(kFramings);
  if (m_kind == RequestKind::kEvents && is_success) {
    m_sent_body = Events(m_id, m_first_event, EventCount(m_id));
    m_answer.body = Events(m_id, 1, EventCount(m_id));
    return;
  }
  m_sent_body = fmt::format("{}{} ", kMark, m_answer.attempt);
  m_sent_body += std::string(Below(OneIn(4) ? kMostBody : 60), 'x');
  m_answer.body = m_sent_body;
}

void AnswerGenerator::DrawHead() {
  static constexpr std::array<std::string_view, 4> kInterims = {
      "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\nX-Odd: 1\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 5\r\n\r\n",
      "HTTP/1.1 100 Continue\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"};
  const bool is_old = m_framing != Framing::kChunks && OneIn(8);
  if (!is_old && OneIn(5)) {
    for (std::uint64_t count = 1 + Below(3); count > 0; --count) {
      m_interim += OneOf(kInterims);
    }
  }
  m_head = fmt::format("HTTP/1.{} {} Any\r\n", is_old ? 0 : 1, m_answer.status);
  const bool is_named = m_answer.status < 300 || !OneIn(4);
  m_head += is_named ? fmt::format("X-Id: {}\r\n", m_id) : "";
  m_head += fmt::format("X-Attempt: {}\r\n", m_answer.attempt);
  m_head += m_answer.is_signed ? "X-Signature: s\r\n" : "";
  m_head += m_answer.is_refusal ? "X-Not-Run: 1\r\n" : "";
  m_head += OneIn(6) ? "Connection: close\r\n" : "";
  switch (m_framing) {
    case Framing::kLength:
      m_head += fmt::format("Content-Length: {}\r\n", m_sent_body.size());
      m_framed = m_sent_body;
      break;
    case Framing::kChunks:
      m_head += "Transfer-Encoding: chunked\r\n";
      m_framed = Chunked(m_sent_body);
      break;
    case Framing::kUntilEnd:
      m_framed = m_sent_body;
      m_answer.end = ConnectionEnd::kOrderly;
      break;
    case Framing::kNone:
      m_head += m_answer.status == 304 && OneIn(2) ? "Content-Length: 7\r\n" : "";
      m_framed.clear();
      break;
  }
  m_answer.name += fmt::format(" framing {}{}", static_cast<int>(m_framing), is_old ? " old" : "");
}

std::string AnswerGenerator::Chunked(const std::string& body) {
  static constexpr std::array<std::string_view, 3> kExtensions = {"", ";a=b", ";odd;c=\"d e\""};
  static constexpr std::array<std::string_view, 4> kTrailers = {"X-Trailer: t", "X-Signature: s",
                                                                "X-Not-Run: 1", "X-Id: other"};
  std::string chunks;
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t size = std::min<std::size_t>(body.size() - at, 1 + Below(body.size()));
    chunks += fmt::format("{:x}{}\r\n{}\r\n", size, OneOf(kExtensions), body.substr(at, size));
    at += size;
  }
  chunks += OneIn(3) ? fmt::format("0;last\r\n{}\r\n\r\n", OneOf(kTrailers)) : "0\r\n\r\n";
  return chunks;
}

void AnswerGenerator::Spoil(const std::string& name) {
  m_answer.name += ", " + name;
  m_answer.soundness = Soundness::kSpoiled;
  m_answer.end = OneIn(2) ? ConnectionEnd::kOrderly : ConnectionEnd::kReset;
}

void AnswerGenerator::Mutate() {
  switch (Below(9)) {
    case 0:
    case 1:
      CutShort();
      break;
    case 2:
    case 3:
    case 4:
      AddBytes();
      break;
    case 5:
      MutateFields();
      break;
    case 6:
      MutateFraming();
      break;
    case 7:
      MutateStatus();
      break;
    default:
      if (OneIn(2)) {
        Pour();
      } else {
        CutShort();
      }
  }
}

void AnswerGenerator::CutShort() {
  const std::string whole = Whole();
  const std::size_t kept = Below(whole.size());
  m_bytes = whole.substr(0, kept);
  Spoil(fmt::format("cut at {} of {}", kept, whole.size()));
  const std::size_t head = whole.size() - m_framed.size();
  if (m_framing != Framing::kUntilEnd || kept < head || m_answer.end != ConnectionEnd::kOrderly) {
    return;
  }
  // An orderly end is all that tells the end of such a body.
  m_answer.body = m_sent_body.substr(0, kept - head);
  const bool is_stream = m_kind == RequestKind::kEvents && m_answer.status < 300;
  if (is_stream && !m_answer.body.empty() && !m_answer.body.ends_with("\n\n")) {
    return;  // Within an event: no end of a stream.
  }
  m_answer.soundness = Soundness::kEither;
  m_answer.body.insert(0, is_stream ? Events(m_id, 1, m_first_event - 1) : "");
}

void AnswerGenerator::AddBytes() {
  if (m_framing == Framing::kUntilEnd) {
    return;
  }
  const std::string whole = Whole();
  static constexpr std::array<std::string_view, 5> kExtras = {
      "mine:odd", "\r\n", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 8\r\n\r\nmine:odd",
      "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n"};
  switch (Below(3)) {
    case 0:
      m_answer.name += ", doubled";
      m_bytes = whole + whole;
      m_answer.has_extra = true;
      break;
    case 1:
      m_answer.name += ", doubled late";
      m_answer.late = whole;
      break;
    default: {
      const std::string_view extra = OneOf(kExtras);
      m_answer.name += fmt::format(", extra {}", extra.substr(0, 12));
      m_bytes = whole + std::string(extra);
      m_answer.has_extra = true;
    }
  }
}

void AnswerGenerator::MutateFields() {
  struct OddField {
    std::string_view name;
    std::string line;
    Soundness soundness;
  };
  const std::array fields = {
      OddField{"folded", "X-Odd: a\r\n b\r\n", Soundness::kEither},
      OddField{"nul", std::string("X-Odd: a\0b\r\n", 12), Soundness::kSpoiled},
      OddField{"control byte", "X-Odd: a\x01z\r\n", Soundness::kSpoiled},
      OddField{"blank before the colon", "X-Odd : a\r\n", Soundness::kEither},
      OddField{"no colon", "X-Odd\r\n", Soundness::kSpoiled},
      OddField{
          "Connection names the signature", "Connection: X-Signature\r\n",
          m_answer.is_signed && m_answer.status < 300 ? Soundness::kSpoiled : Soundness::kEither},
      OddField{"Connection names the id", "Connection: keep-alive, X-Id\r\n", Soundness::kEither},
      OddField{"Connection names the length", "Connection: Content-Length, Transfer-Encoding\r\n",
               Soundness::kEither},
      OddField{"Connection names X-Not-Run", "Connection: x-not-run\r\n", Soundness::kEither},
      OddField{"large", "X-Odd: " + std::string(40'000, 'o') + "\r\n", Soundness::kEither},
      OddField{"giant", "X-Odd: " + std::string(70'000, 'o') + "\r\n", Soundness::kSpoiled},
  };
  const OddField& odd = OneOf(fields);
  Spoil(fmt::format("field {}", odd.name));
  m_answer.soundness = odd.soundness;
  if (odd.name.ends_with("X-Not-Run")) {
    m_answer.is_refusal = m_answer.status == 421;
  }
  m_head += odd.line;
  if (m_answer.is_signed && m_answer.status < 300 && OneIn(4)) {
    static constexpr std::string_view kSignature = "X-Signature: s\r\n";
    m_head.erase(m_head.find(kSignature), kSignature.size());
    Spoil("no signature");
  }
}

void AnswerGenerator::MutateFraming() {
  static constexpr std::array<std::string_view, 7> kEncodings = {
      "gzip", "identity", "chunked, chunked", "gzip, chunked", "xchunked", "chunked;q=1", ""};
  if (m_framing == Framing::kNone) {
    return CutShort();
  }
  if (m_framing == Framing::kChunks && OneIn(2)) {
    static constexpr std::array<std::string_view, 6> kSizes = {"-1", "0x4", "g",
                                                               "",   " 4",  "fffffffffffffffff"};
    const std::size_t size = m_sent_body.size();
    const bool is_number = OneIn(2) && size > 1;
    const std::string written =
        is_number ? fmt::format("{:x}", size + (OneIn(2) ? 1 : -1)) : std::string(OneOf(kSizes));
    m_framed = fmt::format("{}\r\n{}\r\n0\r\n\r\n", written, m_sent_body);
    return Spoil("chunk size " + written);
  }
  if (OneIn(2)) {
    Spoil("two framings");
    m_head += fmt::format("Content-Length: {}\r\n", m_sent_body.size() + 1 + Below(9));
    m_head += m_framing == Framing::kUntilEnd
                  ? fmt::format("Content-Length: {}\r\n", m_sent_body.size())
                  : "";
    return;
  }
  const std::string_view encoding = OneOf(kEncodings);
  Spoil(fmt::format("encoding {}", encoding));
  m_head += fmt::format("Transfer-Encoding: {}\r\n", encoding);
}

void AnswerGenerator::MutateStatus() {
  static constexpr std::array<std::string_view, 7> kStatuses = {"101", "099",  "600", "999",
                                                                "000", "2000", "20"};
  const std::string_view status = OneOf(kStatuses);
  Spoil(fmt::format("status {}", status));
  m_head.replace(std::string_view("HTTP/1.1 ").size(), 3, status);
}

void AnswerGenerator::Pour() {
  m_answer.most_poured = kMostPoured;
  const std::string head = m_interim + m_head;
  switch (OneIn(40) ? 5 : Below(5)) {
    case 0:
      Spoil("endless fields");
      m_bytes = head;
      m_answer.poured = Repeated("X-Odd: mine:odd\r\n", kPourPiece);
      break;
    case 1:
      Spoil("endless interim heads");
      m_answer.poured = Repeated("HTTP/1.1 100 Continue\r\n\r\n", kPourPiece);
      m_bytes = m_interim;
      break;
    case 2:
    case 3: {
      if (m_framing != Framing::kChunks || m_sent_body.empty()) {
        return AddBytes();
      }
      const bool is_trailer = OneIn(2);
      Spoil(is_trailer ? "endless trailer" : "endless extension");
      m_bytes = head + "\r\n" + m_framed.substr(0, m_framed.rfind("\r\n0")) + "\r\n0" +
                (is_trailer ? "\r\n" : ";");
      m_answer.poured = Repeated(is_trailer ? "X-Odd: mine:odd\r\n" : "odd=odd;", kPourPiece);
      break;
    }
    case 4:
      if (m_framing == Framing::kUntilEnd) {
        return;
      }
      m_answer.name += ", endless bytes after it";
      m_bytes = Whole();
      m_answer.poured = Repeated("mine:odd", kPourPiece);
      m_answer.has_extra = true;
      m_answer.end = ConnectionEnd::kOrderly;
      break;
    default:
      if (m_framing != Framing::kChunks || m_kind == RequestKind::kEvents) {
        return;
      }
      Spoil("endless body");
      m_bytes = head + "\r\n";
      m_answer.most_poured = kMostPouredBody;
      m_answer.poured = fmt::format("{:x}\r\n{}\r\n", kPourPiece, std::string(kPourPiece, 'o'));
  }
}

void AnswerGenerator::Split(std::string bytes) {
  for (std::uint64_t cuts = OneIn(3) ? 1 + Below(4) : 0; cuts > 0 && bytes.size() > 1; --cuts) {
    const std::size_t at = 1 + Below(bytes.size() - 1);
    m_answer.pieces.push_back(bytes.substr(0, at));
    bytes.erase(0, at);
  }
  m_answer.pieces.push_back(bytes);
}

}  // namespace zinnia
