#pragma once

#include "zinnia_adapters/fleet_news/fleet_news.capnp.h"
#include "zinnia_decisions/forwarding/observed_state/instance_report.h"
#include "zinnia_decisions/forwarding/observed_state/mirrored_record.h"

/** Between the messages of fleet_news.capnp and the core's types. */
namespace zinnia::report_codec {

void Write(wire::NewsReport::Builder to, const InstanceReport& report);
InstanceReport Read(wire::NewsReport::Reader from);
void Write(wire::NewsDelta::Builder to, const MirrorDelta& delta);
MirrorDelta Read(wire::NewsDelta::Reader from);

}  // namespace zinnia::report_codec
