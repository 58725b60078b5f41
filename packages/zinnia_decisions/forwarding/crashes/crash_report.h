#pragma once

#include <chrono>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_decisions/forwarding/crashes/crash_onset.h"
#include "zinnia_decisions/forwarding/crashes/suspect_kind.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A request, or a part of its prompt, that was in flight at a server when it crashed. */
struct CrashReport {
  /** Of the part if `kind` says so. */
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
  SuspectKind kind = SuspectKind::kRequest;
};

/** A request that ended well although something spoke against it, or a part of a prompt whose
    stream got past its beginning. */
struct ClearedRequest {
  /** Of the part if `kind` says so. */
  Fingerprint request;

  /** Time since the request ended well, or since the stream on the part began, however often that
      has been told. */
  std::chrono::milliseconds age{0};
  SuspectKind kind = SuspectKind::kRequest;
};

/** A request that is refused because it, or a part of its prompt, crashes servers. */
struct QuarantineReport {
  /** Of the part if `kind` says so. */
  Fingerprint request;

  /** Time until it is let through again. */
  std::chrono::milliseconds remaining{0};

  /** How long it is refused in all; grows with each further quarantine. */
  std::chrono::milliseconds duration{0};
  SuspectKind kind = SuspectKind::kRequest;
};

}  // namespace zinnia
