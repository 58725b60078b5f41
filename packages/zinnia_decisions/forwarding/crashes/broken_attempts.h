#pragma once

#include <map>
#include <string>
#include <vector>

#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/crashes/crash_onset.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** A request whose answer broke off, as the instance that sent it saw it. */
struct BrokenAttempt {
  Fingerprint request;
  std::string request_id;
  BackendServerName server;
  CrashOnset onset = CrashOnset::kUnknown;
  TimePoint sent_at{};

  /** Time from the beginning of the answer until it broke off; zero if it had not begun. */
  Duration ran{};
  TimePoint broken_at{};
  NetworkAddress server_address;

  /** The parts of its prompt that other requests may share. */
  std::vector<Fingerprint> prompt_parts;
};

/** What is known of a server at which an answer has broken off. */
enum class ServerCheck { kProbeIt, kAwaitsProbe, kHasCrashed };

/** Collects broken attempts until it is known whether their server crashed.

    An answer also breaks off when a server or a link harms a single connection. A server that has
    crashed refuses new connections for as long as its restart takes.
*/
class BrokenAttempts {
 public:
  explicit BrokenAttempts(const Clock& clock) : m_clock(clock) {}

  /** Records an attempt, unless its server is known to have crashed. */
  ServerCheck Add(const BrokenAttempt& attempt);

  /** The server refused a connection. Returns the attempts that broke off shortly before. */
  std::vector<BrokenAttempt> OnConnectionRefused(const BackendServerName& server);

  /** The server accepted a connection, or could not be reached. Returns the dropped attempts. */
  std::vector<BrokenAttempt> OnNoCrash(const BackendServerName& server);

  bool HasPending(const BackendServerName& server) const { return m_pending.contains(server); }

  /** Attempts of a request whose servers have not been probed yet. */
  std::size_t CountPending(const Fingerprint& request) const;

 private:
  void ForgetOldCrashes();

  const Clock& m_clock;
  std::map<BackendServerName, std::vector<BrokenAttempt>> m_pending;
  std::map<BackendServerName, TimePoint> m_crashed_at;
};

}  // namespace zinnia
