#include "zinnia_decisions/sessions/resume_point_bytes.h"

#include <cstring>

namespace zinnia {
namespace {

constexpr unsigned kBitsPerByte = 7;
constexpr unsigned kContinuationBit = 0x80;
constexpr unsigned kMaxBits = 64;
constexpr std::size_t kMaxHops = 1'024;

/** Incremented when the encoding changes; tokens with another version are refused. */
constexpr std::uint64_t kFormatVersion = 1;

void AppendNumber(std::uint64_t number, std::string& bytes) {
  while (number >= kContinuationBit) {
    bytes.push_back(static_cast<char>(number | kContinuationBit));
    number >>= kBitsPerByte;
  }
  bytes.push_back(static_cast<char>(number));
}

void AppendText(std::string_view text, std::string& bytes) {
  AppendNumber(text.size(), bytes);
  bytes.append(text);
}

void AppendFingerprint(const Fingerprint& fingerprint, std::string& bytes) {
  bytes.append(reinterpret_cast<const char*>(&fingerprint.high), sizeof(fingerprint.high));
  bytes.append(reinterpret_cast<const char*>(&fingerprint.low), sizeof(fingerprint.low));
}

/** Sequential decoder. After a failed read, all later reads return empty values. */
class Reader {
 public:
  explicit Reader(std::string_view bytes) : m_bytes(bytes) {}

  std::uint64_t Number() {
    std::uint64_t number = 0;
    for (unsigned shift = 0; shift < kMaxBits; shift += kBitsPerByte) {
      const std::string_view byte = Take(1);
      if (byte.empty()) {
        return 0;
      }
      const auto value = static_cast<unsigned char>(byte.front());
      number |= static_cast<std::uint64_t>(value & (kContinuationBit - 1)) << shift;
      if ((value & kContinuationBit) == 0) {
        return number;
      }
    }
    m_failed = true;
    return 0;
  }

  std::string Text() { return std::string(Take(Number())); }

  Fingerprint ReadFingerprint() {
    Fingerprint fingerprint;
    const std::string_view bytes = Take(sizeof(fingerprint.high) + sizeof(fingerprint.low));
    if (!bytes.empty()) {
      std::memcpy(&fingerprint.high, bytes.data(), sizeof(fingerprint.high));
      std::memcpy(&fingerprint.low, bytes.data() + sizeof(fingerprint.high),
                  sizeof(fingerprint.low));
    }
    return fingerprint;
  }

  bool IsFullyRead() const { return !m_failed && m_bytes.empty(); }
  bool HasFailed() const { return m_failed; }

 private:
  std::string_view Take(std::size_t count) {
    if (m_failed || count > m_bytes.size()) {
      m_failed = true;
      return {};
    }
    const std::string_view taken = m_bytes.substr(0, count);
    m_bytes.remove_prefix(count);
    return taken;
  }

  std::string_view m_bytes;
  bool m_failed = false;
};

void ReadRoute(Reader& reader, Route& route) {
  route.pipeline = reader.Text();
  route.model = reader.Text();
  route.version = reader.Text();
  const std::uint64_t hops = reader.Number();
  for (std::uint64_t hop = 0; hop < hops && hop < kMaxHops && !reader.HasFailed(); ++hop) {
    const auto first = static_cast<std::uint32_t>(reader.Number());
    const auto end = static_cast<std::uint32_t>(reader.Number());
    route.hops.push_back({{first, end}, reader.Text()});
  }
}

}  // namespace

void AppendResumePoint(const ResumePoint& point, std::string& bytes) {
  AppendNumber(kFormatVersion, bytes);
  AppendText(point.session, bytes);
  AppendText(point.organisation, bytes);
  AppendFingerprint(point.request, bytes);
  AppendNumber(point.attempt, bytes);
  AppendNumber(point.delivered_tokens, bytes);
  AppendFingerprint(point.delivered_hash, bytes);
  AppendNumber(point.seed, bytes);
  AppendNumber(static_cast<std::uint64_t>(point.expires_at_unix_ms), bytes);
  AppendText(point.route.pipeline, bytes);
  AppendText(point.route.model, bytes);
  AppendText(point.route.version, bytes);
  AppendNumber(point.route.hops.size(), bytes);
  for (const Route::Hop& hop : point.route.hops) {
    AppendNumber(hop.layers.first, bytes);
    AppendNumber(hop.layers.end, bytes);
    AppendText(hop.server, bytes);
  }
}

Result<ResumePoint> ParseResumePoint(std::string_view bytes) {
  Reader reader(bytes);
  ResumePoint point;
  if (reader.Number() != kFormatVersion) {
    return MakeError(ErrorKind::kResumeRefused, "the event id has a layout of another release");
  }
  point.session = reader.Text();
  point.organisation = reader.Text();
  point.request = reader.ReadFingerprint();
  point.attempt = static_cast<AttemptNumber>(reader.Number());
  point.delivered_tokens = static_cast<std::uint32_t>(reader.Number());
  point.delivered_hash = reader.ReadFingerprint();
  point.seed = reader.Number();
  point.expires_at_unix_ms = static_cast<std::int64_t>(reader.Number());
  ReadRoute(reader, point.route);
  if (!reader.IsFullyRead()) {
    return MakeError(ErrorKind::kResumeRefused, "the event id is cut or has extra bytes");
  }
  return point;
}

}  // namespace zinnia
