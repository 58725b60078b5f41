#pragma once

#include <functional>

#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/forwarding/observed_state/instance_report.h"
#include "zinnia_decisions/forwarding/observed_state/mirrored_record.h"
#include "zinnia_world/fleet/network_address.h"

namespace zinnia {

/** Sends reports to other instances. Callbacks run once, asynchronously, on the control thread.
 */
class ReportTransport {
 public:
  virtual ~ReportTransport() = default;

  /** Sends a report and receives the store records that the peer has and this instance lacks. If
      the report does not want records, the response only carries the peer's revision and must not
      be merged. */
  virtual void Exchange(const NetworkAddress& peer,
                        const InstanceReport& report,
                        std::function<void(Result<MirrorDelta>)> callback) = 0;
};

/** Responds to the reports of peers. Called on the control thread. */
class ReportHandler {
 public:
  virtual ~ReportHandler() = default;
  virtual MirrorDelta OnReport(const InstanceReport& report) = 0;
};

}  // namespace zinnia
