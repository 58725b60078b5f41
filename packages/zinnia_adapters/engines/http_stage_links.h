#pragma once

#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "zinnia_adapters/engines/channel_parts.h"
#include "zinnia_adapters/engines/pending_step.h"
#include "zinnia_decisions/ports/stage_links.h"

namespace zinnia {

class EngineChannel;

/** The way to the model engines over HTTP (docs/PROTOCOLS.md): one channel a server.

    Belongs to one traffic thread: create, use and destroy it there. Addresses come from the current
    snapshot at each connection, so a server that moved is found again.

    @see EngineChannel, ChannelListener
*/
class HttpStageLinks final : public StageLinks {
 public:
  explicit HttpStageLinks(const ChannelParts& parts);
  ~HttpStageLinks() override;

  void SendStep(const BackendServerName& server,
                std::uint32_t hop,
                StepRequest step,
                std::weak_ptr<StepListener> listener) override;
  /** Keeps isolated steps back until ReleaseIsolated was called as often as this. Called when a
      server crashed, until the other instances know which requests were on it.
      @see InstanceControl::ReportServerCrash */
  void HoldIsolated() { ++m_holds; }
  void ReleaseIsolated();

  void ReleaseSession(const BackendServerName& server,
                      const SessionName& session,
                      AttemptNumber attempt) override;
  void FindSession(const BackendServerName& server,
                   const SessionName& session,
                   std::function<void(Result<HeldSession>)> callback) override;
  void MoveCache(const BackendServerName& from,
                 const BackendServerName& to,
                 const SessionName& session,
                 AttemptNumber attempt,
                 AttemptNumber new_attempt,
                 std::function<void(Result<std::uint32_t>)> callback) override;

 private:
  EngineChannel& ChannelTo(const BackendServerName& server);

  /** Drops idle channels to servers that are no longer in the fleet. Backend servers are replaced
      all the time; without this their channels would add up over the months. */
  void DropOldChannels();

  const ChannelParts m_parts;
  std::unordered_map<BackendServerName, std::shared_ptr<EngineChannel>> m_channels;
  std::size_t m_holds = 0;
  std::vector<std::pair<BackendServerName, PendingStep>> m_held;
};

}  // namespace zinnia
