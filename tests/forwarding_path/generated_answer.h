#pragma once

#include <string>
#include <vector>

namespace zinnia {

/** Routes of ForwardingFixture. */
enum class RequestKind { kOnce, kSafe, kEvents };

/** Whether an answer must be believed, may be, or must not be. */
enum class Soundness { kSound, kEither, kSpoiled };

enum class ConnectionEnd { kKept, kOrderly, kReset };

/** One answer of a server, as AnswerGenerator drew it. */
struct GeneratedAnswer {
  /** Kind and mutation, for the trace. */
  std::string name;

  /** The value of its X-Attempt field. */
  std::string attempt;
  std::vector<std::string> pieces;

  /** Sent again and again after the pieces, until the peer closes the connection. */
  std::string poured;
  std::size_t most_poured = 0;
  ConnectionEnd end = ConnectionEnd::kKept;

  /** The answer's bytes, if they are sent once more when the next request has arrived. */
  std::string late;

  /** Whether bytes follow that belong to no request. */
  bool has_extra = false;

  Soundness soundness = Soundness::kSound;
  unsigned status = 200;
  bool is_signed = true;

  /** A refusal that names its request or leaves the name out, and says that it did not run. */
  bool is_refusal = false;

  /** What a caller who believes the answer has received in the end. */
  std::string body;
};

}  // namespace zinnia
