#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace zinnia {

/** Counts how often the store came back from an older copy of its data. Revisions are only
   comparable within one era, since such a store gives the revisions after that copy out again. */
using StoreEra = std::uint64_t;

/** The order of all that the store says: first by era, then by the store's own number. The default
   is before every revision of a store. */
struct StoreRevision {
  /** 0 if the store names no eras. */
  StoreEra era = 0;
  std::uint64_t number = 0;

  auto operator<=>(const StoreRevision&) const = default;
};

}  // namespace zinnia
