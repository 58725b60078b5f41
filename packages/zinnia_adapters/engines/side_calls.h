#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "zinnia_adapters/engines/channel_parts.h"
#include "zinnia_adapters/engines/engine_connections.h"
#include "zinnia_adapters/http/backend_connection.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** The calls to one engine beside the steps: find, release, export, import, state.

    They have connections of their own, so that a release never waits behind a batch. Calls with a
    waiting session go before releases, which are best effort: when too many wait, the oldest is
    dropped, and the engine drops that cache when it is idle for long.
*/
class SideCalls : public std::enable_shared_from_this<SideCalls> {
 public:
  using Callback = std::function<void(Result<std::string>)>;

  static constexpr std::size_t kMostConnections = 2;
  static constexpr std::size_t kMostReleases = 2048;
  static constexpr std::size_t kMostUrgent = 1024;

  static std::shared_ptr<SideCalls> Create(const ChannelParts& parts, BackendServerName server);

  /** Posts `body` and gives the response's body. Fails with kNotFound (404), kBackendRejected,
      kBackendTimeout, kOutcomeUnknown (connection lost) or kBackendUnavailable (never sent). */
  void Call(std::string target, std::string body, Duration timeout, Callback callback);

  void Release(const SessionName& session, AttemptNumber attempt);

  /** Reads the engine's incarnation on a new connection. */
  void ReadIncarnation(Duration timeout,
                       std::function<void(ExchangeFailure, std::uint64_t)> callback);

 private:
  struct PendingCall {
    std::string target;
    std::string body;
    Duration timeout{};
    Callback callback;
  };

  SideCalls(const ChannelParts& parts, BackendServerName server);
  void SendNext();
  void Send(PendingCall call);

  const ChannelParts m_parts;
  const BackendServerName m_server;
  std::deque<PendingCall> m_urgent;
  std::deque<PendingCall> m_releases;
  EngineConnections m_connections;
  std::size_t m_in_flight = 0;
};

}  // namespace zinnia
