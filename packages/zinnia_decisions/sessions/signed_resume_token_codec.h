#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>

#include "zinnia_decisions/sessions/resume_token.h"

struct evp_mac_ctx_st;

namespace zinnia {

/** Encodes resume points as unpadded URL-safe Base64, signed with HMAC-SHA256.

    All instances share the key. The content is not encrypted; it includes the route's server names
    but no secrets. Thread-safe.

    @see OpenResumePoint, which also checks expiry and ownership
*/
class SignedResumeTokenCodec final : public ResumeTokenCodec {
 public:
  /** Fails with kInvalidSettings if the key has less than 32 bytes. */
  static Result<std::unique_ptr<SignedResumeTokenCodec>> Create(std::string_view key);

  ~SignedResumeTokenCodec() override;
  std::string Seal(const ResumePoint& point) const override;
  Result<ResumePoint> Open(const std::string& token) const override;

 private:
  using Mac = std::array<unsigned char, 32>;
  struct ContextDeleter {
    void operator()(evp_mac_ctx_st* context) const;
  };
  using Context = std::unique_ptr<evp_mac_ctx_st, ContextDeleter>;

  explicit SignedResumeTokenCodec(Context keyed);
  Mac Sign(std::string_view bytes) const;

  /** Initialised with the key; duplicated for signing and never used directly. */
  const Context m_keyed_context;

  /** Cached duplicate of `m_keyed_context`, or null while in use. Duplicating costs more than
      signing. */
  mutable std::atomic<evp_mac_ctx_st*> m_spare_context = nullptr;
};

}  // namespace zinnia
