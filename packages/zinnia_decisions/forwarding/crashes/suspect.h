#pragma once

#include <compare>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/forwarding/crashes/suspect_kind.h"

namespace zinnia {

/** Identifies a request, or a part of a prompt, that may crash servers. Those of two kinds are
    different even if their fingerprints are equal. */
struct Suspect {
  SuspectKind kind = SuspectKind::kRequest;
  Fingerprint fingerprint;

  bool operator==(const Suspect&) const = default;
  std::strong_ordering operator<=>(const Suspect& other) const {
    return kind != other.kind ? kind <=> other.kind : fingerprint <=> other.fingerprint;
  }
};

/** `report`: a CrashReport, ClearedRequest or QuarantineReport. */
template <typename Report>
Suspect SuspectOf(const Report& report) {
  return {report.kind, report.request};
}

}  // namespace zinnia
