#include "zinnia_decisions/sessions/url_safe_base64.h"

#include <array>
#include <cstdint>

namespace zinnia {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::uint8_t kInvalidDigit = 0xff;
constexpr unsigned kDigitBits = 6;
constexpr unsigned kByteBits = 8;
constexpr std::uint32_t kDigitMask = (1U << kDigitBits) - 1;
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupDigits = 4;

constexpr std::array<std::uint8_t, 256> MakeDigits() {
  std::array<std::uint8_t, 256> digits{};
  digits.fill(kInvalidDigit);
  for (std::size_t digit = 0; digit < kAlphabet.size(); ++digit) {
    digits[static_cast<unsigned char>(kAlphabet[digit])] = static_cast<std::uint8_t>(digit);
  }
  return digits;
}

constexpr std::array<std::uint8_t, 256> kDigits = MakeDigits();

std::uint32_t ByteAt(std::string_view bytes, std::size_t at) {
  return static_cast<unsigned char>(bytes[at]);
}

/** Encodes three bytes as four digits and returns the end of the output. */
char* WriteGroup(std::uint32_t first, std::uint32_t second, std::uint32_t third, char* out) {
  const std::uint32_t bits = (first << (2 * kByteBits)) | (second << kByteBits) | third;
  out[0] = kAlphabet[bits >> (3 * kDigitBits)];
  out[1] = kAlphabet[(bits >> (2 * kDigitBits)) & kDigitMask];
  out[2] = kAlphabet[(bits >> kDigitBits) & kDigitMask];
  out[3] = kAlphabet[bits & kDigitMask];
  return out + kGroupDigits;
}

}  // namespace

std::string EncodeUrlSafeBase64(std::string_view bytes) {
  // Preallocated because this runs for every delivered token.
  const std::size_t groups = (bytes.size() + kGroupBytes - 1) / kGroupBytes;
  std::string text(groups * kGroupDigits, '\0');
  char* out = text.data();
  std::size_t at = 0;
  for (; at + kGroupBytes <= bytes.size(); at += kGroupBytes) {
    out = WriteGroup(ByteAt(bytes, at), ByteAt(bytes, at + 1), ByteAt(bytes, at + 2), out);
  }
  if (at < bytes.size()) {
    const std::uint32_t second = at + 1 < bytes.size() ? ByteAt(bytes, at + 1) : 0;
    WriteGroup(ByteAt(bytes, at), second, 0, out);
  }
  const std::size_t padding = groups * kGroupBytes - bytes.size();
  text.resize(text.size() - padding);
  return text;
}

std::optional<std::string> DecodeUrlSafeBase64(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size() * kGroupBytes / kGroupDigits);
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char character : text) {
    const std::uint8_t digit = kDigits[static_cast<unsigned char>(character)];
    if (digit == kInvalidDigit) {
      return std::nullopt;
    }
    bits = (bits << kDigitBits) | digit;
    count += kDigitBits;
    if (count >= kByteBits) {
      count -= kByteBits;
      bytes.push_back(static_cast<char>(bits >> count));
    }
  }
  const bool has_trailing_bits = (bits & ((1U << count) - 1)) != 0;
  if (count >= kDigitBits || has_trailing_bits) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace zinnia
