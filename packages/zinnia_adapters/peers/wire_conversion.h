#pragma once

#include "zinnia_adapters/peers/peer.capnp.h"
#include "zinnia_base/errors/error.h"
#include "zinnia_decisions/ports/peer_messages.h"

/** Between the ports' messages and their Cap'n Proto form. Only for .cc files of peers/.

    Reading throws kj::Exception for broken pointers and ErrorException for content that no instance
    would send: unknown enumerators, lists over their bounds, addresses that are not IP numbers. */
namespace zinnia::wire_conversion {

/** Bounds of lists in a probe, far above what fits in a datagram that was not made up. */
constexpr unsigned kMostRumours = 512;
constexpr unsigned kMostFingerprints = 512;

/** Bound of the entries in a configuration or a change of it. */
constexpr unsigned kMostEntries = 200'000;

void Write(wire::Probe::Builder to, const ProbeMessage& message);
ProbeMessage Read(wire::Probe::Reader from);

void Write(wire::ConfigurationDelta::Builder to, const ConfigurationDelta& delta);
ConfigurationDelta Read(wire::ConfigurationDelta::Reader from);

void Write(wire::IntentRequest::Builder to, const IntentRequest& request);
IntentRequest Read(wire::IntentRequest::Reader from);

void Write(wire::IntentReply::Builder to, const IntentReply& reply);
IntentReply Read(wire::IntentReply::Reader from);

void Write(wire::IntentOutcome::Builder to, const IntentOutcome& outcome);
IntentOutcome Read(wire::IntentOutcome::Reader from);

void Write(wire::Error::Builder to, const Error& error);

/** A kind that this version does not know becomes kInternal, the rest of the error staying. */
Error Read(wire::Error::Reader from);

}  // namespace zinnia::wire_conversion
