#pragma once

#include <cstdint>
#include <tuple>

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

  bool operator==(const StoreRevision&) const = default;
  bool operator<(const StoreRevision& other) const {
    return std::tie(era, number) < std::tie(other.era, other.number);
  }
  bool operator>(const StoreRevision& other) const { return other < *this; }
  bool operator<=(const StoreRevision& other) const { return !(other < *this); }
};

}  // namespace zinnia
