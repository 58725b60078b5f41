#include "zinnia_decisions/sessions/signed_resume_token_codec.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <utility>

#include "zinnia_decisions/sessions/resume_point_bytes.h"
#include "zinnia_decisions/sessions/url_safe_base64.h"

namespace zinnia {
namespace {

constexpr std::size_t kMinKeyBytes = 32;
constexpr std::size_t kTypicalTokenBytes = 384;

Error Refused(std::string message) {
  return MakeError(ErrorKind::kResumeRefused, std::move(message));
}

}  // namespace

void SignedResumeTokenCodec::ContextDeleter::operator()(evp_mac_ctx_st* context) const {
  EVP_MAC_CTX_free(context);
}

Result<std::unique_ptr<SignedResumeTokenCodec>> SignedResumeTokenCodec::Create(
    std::string_view key) {
  if (key.size() < kMinKeyBytes) {
    return MakeError(ErrorKind::kInvalidSettings,
                     "the key of resume tokens needs at least 32 bytes");
  }
  EVP_MAC* hmac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  Context context(EVP_MAC_CTX_new(hmac));
  EVP_MAC_free(hmac);
  std::string digest = "SHA256";
  const OSSL_PARAM parameters[] = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
      OSSL_PARAM_construct_end()};
  const auto* key_bytes = reinterpret_cast<const unsigned char*>(key.data());
  if (!context || EVP_MAC_init(context.get(), key_bytes, key.size(), parameters) != 1) {
    return MakeError(ErrorKind::kInternal, "OpenSSL has no HMAC-SHA256");
  }
  return std::unique_ptr<SignedResumeTokenCodec>(new SignedResumeTokenCodec(std::move(context)));
}

SignedResumeTokenCodec::SignedResumeTokenCodec(Context keyed) : m_keyed_context(std::move(keyed)) {}

SignedResumeTokenCodec::~SignedResumeTokenCodec() {
  EVP_MAC_CTX_free(m_spare_context.load());
}

std::string SignedResumeTokenCodec::Seal(const ResumePoint& point) const {
  std::string bytes;
  bytes.reserve(kTypicalTokenBytes);
  AppendResumePoint(point, bytes);
  const Mac mac = Sign(bytes);
  bytes.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  return EncodeUrlSafeBase64(bytes);
}

Result<ResumePoint> SignedResumeTokenCodec::Open(const std::string& token) const {
  const auto bytes = DecodeUrlSafeBase64(token);
  if (!bytes || bytes->size() < sizeof(Mac)) {
    return Refused("the event id is not one of ours");
  }
  const std::string_view signed_part(bytes->data(), bytes->size() - sizeof(Mac));
  const Mac mac = Sign(signed_part);
  // Constant-time comparison prevents timing attacks.
  if (CRYPTO_memcmp(mac.data(), bytes->data() + signed_part.size(), mac.size()) != 0) {
    return Refused("the event id was altered or sealed with another key");
  }
  return ParseResumePoint(signed_part);
}

SignedResumeTokenCodec::Mac SignedResumeTokenCodec::Sign(std::string_view bytes) const {
  Context context(m_spare_context.exchange(nullptr));
  if (!context) {
    context.reset(EVP_MAC_CTX_dup(m_keyed_context.get()));
  }
  Mac mac;
  std::size_t length = 0;
  const auto* input = reinterpret_cast<const unsigned char*>(bytes.data());
  const bool is_signed = context && EVP_MAC_init(context.get(), nullptr, 0, nullptr) == 1 &&
                         EVP_MAC_update(context.get(), input, bytes.size()) == 1 &&
                         EVP_MAC_final(context.get(), mac.data(), &length, mac.size()) == 1;
  if (!is_signed || length != mac.size()) {
    throw ErrorException(MakeError(ErrorKind::kInternal, "OpenSSL failed to sign an event id"));
  }
  const Context surplus(m_spare_context.exchange(context.release()));
  return mac;
}

}  // namespace zinnia
