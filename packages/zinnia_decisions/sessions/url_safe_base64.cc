#include "zinnia_decisions/sessions/url_safe_base64.h"

#include <array>
#include <cstdint>

namespace zinnia {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::uint8_t kNoDigit = 0xff;
constexpr unsigned kDigitBits = 6;
constexpr unsigned kByteBits = 8;
constexpr std::uint32_t kDigitMask = (1U << kDigitBits) - 1;
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupDigits = 4;

constexpr std::array<std::uint8_t, 256> MakeDigits() {
  std::array<std::uint8_t, 256> digits{};
  digits.fill(kNoDigit);
  for (std::size_t digit = 0; digit < kAlphabet.size(); ++digit) {
    digits[static_cast<unsigned char>(kAlphabet[digit])] = static_cast<std::uint8_t>(digit);
  }
  return digits;
}

constexpr std::array<std::uint8_t, 256> kDigits = MakeDigits();

}  // namespace

std::string EncodeUrlSafeBase64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + kGroupBytes - 1) / kGroupBytes * kGroupDigits);
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char byte : bytes) {
    bits = (bits << kByteBits) | static_cast<unsigned char>(byte);
    count += kByteBits;
    while (count >= kDigitBits) {
      count -= kDigitBits;
      text.push_back(kAlphabet[(bits >> count) & kDigitMask]);
    }
  }
  if (count > 0) {
    text.push_back(kAlphabet[(bits << (kDigitBits - count)) & kDigitMask]);
  }
  return text;
}

std::optional<std::string> DecodeUrlSafeBase64(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size() * kGroupBytes / kGroupDigits);
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char character : text) {
    const std::uint8_t digit = kDigits[static_cast<unsigned char>(character)];
    if (digit == kNoDigit) {
      return std::nullopt;
    }
    bits = (bits << kDigitBits) | digit;
    count += kDigitBits;
    if (count >= kByteBits) {
      count -= kByteBits;
      bytes.push_back(static_cast<char>(bits >> count));
    }
  }
  const bool has_stray_bits = (bits & ((1U << count) - 1)) != 0;
  if (count >= kDigitBits || has_stray_bits) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace zinnia
