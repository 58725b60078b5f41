#pragma once

#include <memory>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/network_address.h"

namespace kj {
struct AsyncIoContext;
}

namespace zinnia {

class Logger;
class ReportHandler;

/** Receives the reports of other instances by Cap'n Proto RPC. Create and destroy it on the control
    thread; `listener` and `logger` must outlive it. */
class ReportServer {
 public:
  /** Fails with kInvalidSettings if the address cannot be listened on. */
  static Result<std::unique_ptr<ReportServer>> Listen(kj::AsyncIoContext& io,
                                                      const NetworkAddress& address,
                                                      ReportHandler& listener,
                                                      Logger& logger);
  ~ReportServer();

 private:
  class Impl;
  explicit ReportServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace zinnia
