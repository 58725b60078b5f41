#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "language_model.h"

namespace zinnia::standins {

/** What one stage keeps of one attempt of a session. */
struct AttemptCache {
  std::uint32_t attempt = 0;
  Layers layers;
  std::uint32_t prompt_tokens = 0;

  /** This stage samples: its tokens follow from `rows` and `seed`. */
  bool samples = false;
  std::uint64_t seed = 0;

  /** At the first stage: the tokens given to it, from the end of the prompt on. */
  std::vector<std::uint32_t> tokens;

  /** One number a layer for each position. */
  std::vector<std::uint64_t> rows;

  std::uint32_t Length() const {
    return layers.Count() == 0 ? 0 : static_cast<std::uint32_t>(rows.size() / layers.Count());
  }

  /** The last layer's output at a position. */
  std::uint64_t OutputAt(std::uint32_t position) const {
    return rows[(position + 1ULL) * layers.Count() - 1];
  }

  void CutTo(std::uint32_t length);

  /** Text for a KV export, with a checksum seeded by `model_hash`. */
  std::string Export(std::uint64_t model_hash) const;

  /** Nothing if the blob was cut or altered, or comes from another model. */
  static std::optional<AttemptCache> Import(std::string_view blob, std::uint64_t model_hash);
};

/** How often each position of one attempt was run by one layer range. */
struct LedgerRow {
  std::uint32_t attempt = 0;
  Layers layers;
  std::vector<std::uint32_t> counts;
};

/** A session as one engine knows it. The ledger outlives the caches, since it is what tests read.
 */
struct Session {
  std::vector<AttemptCache> attempts;
  std::vector<LedgerRow> ledger;

  /** All attempts below this are released: a late step doesn't make their cache anew. */
  std::uint32_t released_below = 0;

  AttemptCache* Find(std::uint32_t attempt);
  const AttemptCache* Highest() const;
  AttemptCache& Add(AttemptCache cache);
  void Release(std::uint32_t attempt);
  void CountRun(std::uint32_t attempt, Layers layers, std::uint32_t position, std::size_t count);
};

/** Lets the table be searched by string_view without a copy. */
struct SessionNameHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view name) const {
    return std::hash<std::string_view>{}(name);
  }
};

using SessionTable = std::unordered_map<std::string, Session, SessionNameHash, std::equal_to<>>;

}  // namespace zinnia::standins
