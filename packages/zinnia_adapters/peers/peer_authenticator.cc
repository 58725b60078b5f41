#include "zinnia_adapters/peers/peer_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

#include "zinnia_base/errors/error_exception.h"

namespace zinnia {
namespace {

[[noreturn]] void FailLibrary(const char* call) {
  throw ErrorException(
      MakeError(ErrorKind::kInternal, std::string("OpenSSL: ") + call + " failed"));
}

}  // namespace

std::string PeerAuthenticator::CodeFor(Purpose purpose, std::string_view bytes) const {
  std::string message(1, static_cast<char>(purpose));
  message.append(bytes);
  std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
  unsigned length = 0;
  if (HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()),
           reinterpret_cast<const unsigned char*>(message.data()), message.size(), code.data(),
           &length) == nullptr) {
    FailLibrary("HMAC");
  }
  return {reinterpret_cast<const char*>(code.data()), kCodeBytes};
}

bool PeerAuthenticator::Matches(Purpose purpose,
                                std::string_view bytes,
                                std::string_view code) const {
  return code.size() == kCodeBytes &&
         CRYPTO_memcmp(CodeFor(purpose, bytes).data(), code.data(), kCodeBytes) == 0;
}

std::string PeerAuthenticator::SealDatagram(std::string_view payload) const {
  std::string datagram = CodeFor(Purpose::kDatagram, payload);
  datagram.append(payload);
  return datagram;
}

std::optional<std::string_view> PeerAuthenticator::OpenDatagram(std::string_view datagram) const {
  if (datagram.size() < kCodeBytes) {
    return std::nullopt;
  }
  const std::string_view payload = datagram.substr(kCodeBytes);
  if (!Matches(Purpose::kDatagram, payload, datagram.substr(0, kCodeBytes))) {
    return std::nullopt;
  }
  return payload;
}

std::string PeerAuthenticator::MakeNonce() {
  std::array<unsigned char, kNonceBytes> nonce{};
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
    FailLibrary("RAND_bytes");
  }
  return {reinterpret_cast<const char*>(nonce.data()), nonce.size()};
}

}  // namespace zinnia
