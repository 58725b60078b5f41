#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "zinnia_adapters/engines/channel_listener.h"
#include "zinnia_base/time/clock.h"

namespace zinnia {

class ControlSide;
class HttpStageLinks;

/** Brings what one traffic thread's engine links notice to the control thread.

    Loads come with every batch, hundreds a second for each server; they are passed on at most once
    an interval for each, or the control thread would spend its time on them.
*/
class ChannelReports final : public ChannelListener {
 public:
  using Post = std::function<void(std::function<void()>)>;

  ChannelReports(const Clock& clock, Post to_control, Post to_traffic, ControlSide& control);

  /** The links that hold back isolated steps while a crash is announced. Call it once, before the
      first step. */
  void SetLinks(HttpStageLinks& links) { m_links = &links; }

  void OnServerCrashed(const BackendServerName& server,
                       std::uint64_t incarnation,
                       InFlightAtCrash in_flight) override;
  void OnServerSuspect(const BackendServerName& server) override;
  void OnServerRecovered(const BackendServerName& server) override;
  void OnServerLoad(const BackendServerName& server,
                    std::uint32_t running,
                    std::uint32_t queued) override;
  void OnServerRates(const BackendServerName& server, const ServerRatesReport& rates) override;
  void OnServerLeaving(const BackendServerName& server) override;

 private:
  const Clock& m_clock;
  const Post m_to_control;
  const Post m_to_traffic;
  ControlSide& m_control;
  HttpStageLinks* m_links = nullptr;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  std::unordered_map<BackendServerName, TimePoint> m_load_told_at;
};

}  // namespace zinnia
