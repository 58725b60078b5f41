#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "zinnia_world/names/names.h"

namespace zinnia {

/** What is known of a request before its answer begins. */
struct AnswerKey {
  ServiceName service;
  std::string route;
  OrganisationName organisation;

  /** The caller's estimate of the answer's length in tokens. */
  std::optional<std::uint32_t> hint;

  /** The caller's limit on it; 0 for none. */
  std::uint32_t most_tokens = 0;

  /** The mean over the service's answers, as configured; 0 if not known. */
  double usual_tokens = 0.0;
};

/** Number of tokens that an answer still has to send. */
struct RemainingTokens {
  double mean = 0.0;
  double p90 = 0.0;
};

/** Estimates the length of answers. */
class AnswerLengthEstimator {
 public:
  virtual ~AnswerLengthEstimator() = default;

  /** Expected rest of an answer that has sent `sent` tokens so far. Never negative. */
  virtual RemainingTokens Expect(const AnswerKey& key, double sent) const = 0;
};

}  // namespace zinnia
