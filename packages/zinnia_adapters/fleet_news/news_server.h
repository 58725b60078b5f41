#pragma once

#include <memory>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/network_address.h"

namespace kj {
struct AsyncIoContext;
}

namespace zinnia {

class ReportHandler;

/** Takes the news of other instances by Cap'n Proto RPC. Create and destroy it on the control
    thread; `listener` must outlive it. */
class NewsServer {
 public:
  /** Fails with kInvalidSettings if the address cannot be listened on. */
  static Result<std::unique_ptr<NewsServer>> Listen(kj::AsyncIoContext& io,
                                                    const NetworkAddress& address,
                                                    ReportHandler& listener);
  ~NewsServer();

 private:
  class Impl;
  explicit NewsServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace zinnia
