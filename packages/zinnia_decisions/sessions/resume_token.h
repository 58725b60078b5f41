#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/pipeline.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** State from which any instance can resume a stream. It is sent to the caller as the id of each
    event. `delivered_hash` covers the delivered text, `request` is the request's fingerprint. */
struct ResumePoint {
  SessionName session;
  OrganisationName organisation;
  Fingerprint request;
  AttemptNumber attempt = 0;
  std::uint32_t delivered_tokens = 0;
  Fingerprint delivered_hash;
  std::uint64_t seed = 0;
  Route route;
  std::int64_t expires_at_unix_ms = 0;

  bool operator==(const ResumePoint&) const = default;
};

/** Encodes resume points as tamper-proof event ids, and decodes them.

    @see SignedResumeTokenCodec
*/
class ResumeTokenCodec {
 public:
  virtual ~ResumeTokenCodec() = default;
  virtual std::string Seal(const ResumePoint& point) const = 0;

  /** Fails with kResumeRefused if the token is invalid. Does not check expiry and ownership. */
  virtual Result<ResumePoint> Open(const std::string& token) const = 0;
};

}  // namespace zinnia
