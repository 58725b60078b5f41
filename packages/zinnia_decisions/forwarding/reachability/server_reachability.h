#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "zinnia_base/random/random_source.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** kSuspected: connections to several servers have failed, and others are being tried. kNone: no
    server is reached. */
enum class Reachability : std::uint8_t { kReached, kSuspected, kNone };

std::string_view NameOf(Reachability reachability);

/** Tells whether an instance has lost its links to all servers, from its connections to them.

    A network partition and the crash of a server look alike at one server. When new connections to
    several servers fail and none succeeds, some others are tried. If these fail too, the instance
    reaches no server: what it sees of them is no word on the servers, and its requests need another
    way. It then tries a few servers now and then until one accepts a connection. A connection that
    was open before proves nothing, as it may live on.

    Not thread-safe. */
class ServerReachability {
 public:
  ServerReachability(const Clock& clock, RandomSource& random) : m_clock(clock), m_random(random) {}

  /** A server accepted a new connection. */
  void OnConnected();

  /** A server refused a new connection, did not accept it in time, or answered no probe. */
  void OnConnectFailed(const BackendServerName& server);

  /** Whether TakeServersToTry would return any, of so many servers. Call every few tens of
      milliseconds. */
  bool IsTryDue(std::size_t servers);

  /** Returns the servers to which a connection must be tried now, out of `servers`. Call if
      IsTryDue, and report each result. */
  std::vector<BackendServerName> TakeServersToTry(const std::vector<BackendServerName>& servers);

  /** Returns up to `count` of the servers at random, those first that have not failed. */
  std::vector<BackendServerName> ChooseToTry(const std::vector<BackendServerName>& servers,
                                             std::size_t count) const;

  Reachability State() const { return m_state; }
  bool IsCutOff() const { return m_state == Reachability::kNone; }

 private:
  void ForgetOldFailures();

  const Clock& m_clock;
  RandomSource& m_random;
  Reachability m_state = Reachability::kReached;

  /** When each server failed last, since one was last reached. */
  std::map<BackendServerName, TimePoint> m_failed_at;

  /** The servers tried because of a suspicion, until each has answered. */
  std::set<BackendServerName> m_tried;
  TimePoint m_next_try_at{};
  TimePoint m_suspected_at{};
};

}  // namespace zinnia
