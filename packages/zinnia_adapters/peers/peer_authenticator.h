#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace zinnia {

/** Proves to peers that a message comes from an instance of this cluster, by HMAC-SHA256 with the
    cluster's shared secret, cut to 16 bytes.

    Without it, any process that reaches the peer port could spread a rumour that a backend server
    leaves, or grant an intent that nobody recorded. It does not hide anything and does not stop a
    recorded datagram from being sent again; rumours are harmless when repeated.
*/
class PeerAuthenticator {
 public:
  static constexpr std::size_t kCodeBytes = 16;
  static constexpr std::size_t kNonceBytes = 16;

  /** What a code was made for; a code for one purpose never passes for another. */
  enum class Purpose { kDatagram, kCaller, kAnswerer };

  explicit PeerAuthenticator(std::string secret) : m_secret(std::move(secret)) {}

  std::string CodeFor(Purpose purpose, std::string_view bytes) const;

  /** Takes the same time wherever the first wrong byte is. */
  bool Matches(Purpose purpose, std::string_view bytes, std::string_view code) const;

  /** `payload` with its code in front. */
  std::string SealDatagram(std::string_view payload) const;

  /** The payload, or nothing if the code is wrong or missing. */
  std::optional<std::string_view> OpenDatagram(std::string_view datagram) const;

  /** Unpredictable bytes from the system, never from a seeded source: whoever can guess a nonce can
      answer with a recorded code. */
  static std::string MakeNonce();

 private:
  const std::string m_secret;
};

}  // namespace zinnia
