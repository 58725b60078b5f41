#pragma once

#include <functional>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/forwarding/beliefs/instance_report.h"
#include "zinnia_decisions/forwarding/beliefs/mirrored_record.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** The way of news to other instances. Callbacks run later, once, on the control thread. */
class ReportTransport {
 public:
  virtual ~ReportTransport() = default;

  /** Gives what this instance lacks of the store's records and the peer has. If the report does not
      want records, the answer has none and says only how far the peer knows them: it must not be
      merged. */
  virtual void Exchange(const NetworkAddress& peer,
                        const InstanceReport& report,
                        std::function<void(Result<MirrorDelta>)> callback) = 0;
};

/** What an instance answers to the news of its peers. Called on the control thread. */
class ReportHandler {
 public:
  virtual ~ReportHandler() = default;
  virtual MirrorDelta OnReport(const InstanceReport& report) = 0;
};

}  // namespace zinnia
