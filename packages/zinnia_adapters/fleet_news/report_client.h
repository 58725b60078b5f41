#pragma once

#include <memory>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/ports/report_transport.h"

namespace kj {
struct AsyncIoContext;
}

namespace zinnia {

class Logger;

/** Sends reports to peers by Cap'n Proto RPC, over one kept connection a peer. A connection on
   which a call failed or took too long is dropped and made anew after a pause: it may have gone
   silent for good. Lives on the control thread. */
class ReportClient final : public ReportTransport {
 public:
  ReportClient(kj::AsyncIoContext& io, const Clock& clock, Logger& logger);
  ~ReportClient() override;

  void Exchange(const NetworkAddress& peer,
                const InstanceReport& report,
                std::function<void(Result<MirrorDelta>)> callback) override;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace zinnia
