#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>

#include "zinnia_decisions/sessions/resume_token.h"

struct evp_mac_ctx_st;

namespace zinnia {

/** Seals resume points with HMAC-SHA256 into URL-safe text without padding.

    All instances share the key, so that each can open what another sealed. The text is signed, not
    encrypted: it names servers of the route, and nothing secret. Safe to use from any thread.

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

  /** Holds the hashed key, never used itself: other contexts are copied from it. */
  const Context m_keyed;

  /** A copy that is free to be used, or null. A copy costs more than the signing itself, so the
      last one is kept; a second thread that signs at the same time makes its own. */
  mutable std::atomic<evp_mac_ctx_st*> m_spare = nullptr;
};

}  // namespace zinnia
