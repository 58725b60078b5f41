#pragma once

#include <chrono>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/forwarding/crashes/crash_onset.h"
#include "zinnia_decisions/forwarding/crashes/suspect_kind.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A request that was in flight at a server when it crashed. */
struct CrashReport {
  Fingerprint request;

  /** One start of a server; it has another name after its restart. */
  BackendServerName server;
  CrashOnset onset = CrashOnset::kUnknown;

  /** Time from sending the request until the crash. */
  std::chrono::milliseconds in_flight{0};

  /** Time from the beginning of the answer until the crash; zero if it had not begun. */
  std::chrono::milliseconds ran{0};

  /** Time since the crash. */
  std::chrono::milliseconds age{0};

  /** For a part of a prompt, `request` is the part's fingerprint. */
  SuspectKind kind = SuspectKind::kRequest;
};

/** A request that ended well although something spoke against it. */
struct ClearedRequest {
  Fingerprint request;

  /** Time since it ended well, however often that has been told. For a part of a prompt: since the
      stream began that had it and ran on. */
  std::chrono::milliseconds age{0};
  SuspectKind kind = SuspectKind::kRequest;
};

/** A request that is refused because it crashes servers. */
struct QuarantineReport {
  Fingerprint request;

  /** Time until it is let through again. */
  std::chrono::milliseconds remaining{0};

  /** How long it is refused in all; grows with each further quarantine. */
  std::chrono::milliseconds duration{0};
  SuspectKind kind = SuspectKind::kRequest;
};

}  // namespace zinnia
