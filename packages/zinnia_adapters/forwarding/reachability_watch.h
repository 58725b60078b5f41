#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "zinnia_base/random/random_source.h"
#include "zinnia_decisions/forwarding/reachability/server_reachability.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class Clock;
class Logger;
class Metrics;
struct ForwardingView;

/** Connects to servers when that is needed to tell whether this instance reaches any, and logs when
    it reaches none. Belongs to a traffic thread.

    @see ServerReachability */
class ReachabilityWatch {
 public:
  using ViewSource = std::function<std::shared_ptr<const ForwardingView>()>;

  /** All references must outlive this object. `on_cut_off` is called when this instance has lost
      all servers. */
  ReachabilityWatch(boost::asio::io_context& loop,
                    const Clock& clock,
                    RandomSource& random,
                    Logger& logger,
                    Metrics& metrics,
                    ViewSource view,
                    std::function<void()> on_cut_off);

  /** A server accepted a new connection. */
  void OnConnected();

  /** A server refused a new connection, did not accept it in time, or answered no probe. */
  void OnConnectFailed(const BackendServerName& server);

  /** Finds out whether this instance reaches any server but those that failed, before what it saw
     of one counts as news of that server. Calls back once; with true in a fleet of so few servers
     that the crash of all of them is as likely as a partition. */
  void Confirm(std::function<void(bool reaches_servers)> callback);

  /** Call every few tens of milliseconds. */
  void Tick();

  bool IsCutOff() const { return m_reachability.IsCutOff(); }

 private:
  void Try(const BackendServerName& server, std::function<void(bool accepted)> callback);
  void ConfirmAt(std::vector<BackendServerName> servers);
  void EndConfirmation(bool reaches_servers);
  void LogChange(Reachability before);

  boost::asio::io_context& m_loop;
  Logger& m_logger;
  Metrics& m_metrics;
  const ViewSource m_view;
  const std::function<void()> m_on_cut_off;
  ServerReachability m_reachability;

  /** Who waits for the confirmation under way. */
  std::vector<std::function<void(bool)>> m_confirming;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace zinnia
