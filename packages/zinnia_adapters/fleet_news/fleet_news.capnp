@0xb8f3d6a1c2e94f57;

# What instances on a platform with a store of its own tell each other: what they have in flight,
# which servers they found stalled, and what the store said. Only ever add fields at the end: during
# an upgrade, instances of two versions run side by side.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinnia::wire");

struct NewsServerUse {
  server @0 :Text;
  requests @1 :UInt32;
  tokenLayers @2 :Float64;
  begun @3 :UInt32;
}

struct NewsDomainUses {
  failureDomain @0 :Text;
  uses @1 :List(NewsServerUse);
}

struct NewsStall {
  server @0 :Text;
  ageMs @1 :UInt32;
}

struct NewsPace {
  server @0 :Text;
  pace @1 :Float32;
  ageMs @2 :UInt32;
}

struct NewsLayers {
  server @0 :Text;
  first @1 :UInt32;
  end @2 :UInt32;
  leaving @3 :Bool;

  announced @4 :Bool;
  # The server itself said that it leaves. An older version takes it for an inferred departure.
}

struct NewsServerLimit {
  server @0 :Text;
  requestsPerSecond @1 :Float64;
  ended @2 :Bool;
  ageMs @3 :UInt32;
}

struct NewsCrash {
  # A request that was in flight at a server when it crashed.
  requestHigh @0 :UInt64;
  requestLow @1 :UInt64;
  server @2 :Text;
  onset @3 :UInt8;
  inFlightMs @4 :UInt32;
  ranMs @5 :UInt32;
  ageMs @6 :UInt32;

  kind @7 :UInt8;
  # What the fingerprint is of. 0, also from an older version: a request; 1: a part of a prompt.
  # Rows of a kind that is not known are skipped.
}

struct NewsClearedRequest {
  # A request that ended well although something spoke against it.
  high @0 :UInt64;
  low @1 :UInt64;
  ageMs @2 :UInt32;

  kind @3 :UInt8;
  # As in NewsCrash.
}

struct NewsQuarantine {
  # A request that the sender refuses because it crashes servers.
  requestHigh @0 :UInt64;
  requestLow @1 :UInt64;
  remainingMs @2 :UInt32;
  durationMs @3 :UInt32;

  kind @4 :UInt8;
  # As in NewsCrash.
}

struct NewsAnswerLengths {
  # How many answers of one kind had which length, as far as the sender knows; not what was added.
  cell @0 :UInt64;
  counts @1 :Data;
}

struct NewsInstance {
  name @0 :Text;
  ip @1 :Text;
  port @2 :UInt16;
  failureDomain @3 :Text;
  start @4 :UInt64;
  cores @5 :Float64;
  linkMbps @6 :Float64;
  requestsPort @7 :UInt16;
  # Where it takes requests from other instances, at ip; 0: nowhere.
}

struct NewsReport {
  instance @0 :NewsInstance;
  revision @1 :UInt64;
  uses @2 :List(NewsServerUse);
  stalls @3 :List(NewsStall);
  leaving @4 :Bool;
  storeIsSteady @5 :Bool;
  isReader @6 :Bool;
  domainUses @7 :List(NewsDomainUses);

  withoutRecords @8 :Bool;
  # The answer need not hold records, just how far the answering instance knows them. An older
  # version leaves this out and gets the records.

  slowServers @9 :List(NewsPace);
  layers @10 :List(NewsLayers);

  readerAgeMs @11 :UInt32 = 0xffffffff;
  steadyAgeMs @12 :UInt32 = 0xffffffff;
  # How long ago an instance was known to read the store, and to be served by it steadily. Left out
  # by an older version, which says it of itself alone with storeIsSteady and isReader.

  serverLimits @13 :List(NewsServerLimit);
  era @14 :UInt64;
  # The era of the store that the revision belongs to; 0 also from an older version.

  crashes @15 :List(NewsCrash);
  quarantines @16 :List(NewsQuarantine);
  clearedRequests @17 :List(NewsClearedRequest);

  settledAgeMs @18 :UInt32 = 0xffffffff;
  # How long ago an instance was known to have been served by the store for long without an outage.
  # Left out by an older version.

  answerLengths @19 :List(NewsAnswerLengths);
  answerLengthScope @20 :UInt8;
  # Whose answers they are; reports of a scope that is not known count as empty.

  answerLengthSequence @21 :UInt64;
  # Increases from report to report of one run of the sender.
}

struct NewsRecord {
  key @0 :Text;
  revision @1 :UInt64;
  removed @2 :Bool;
  value @3 :Data;
  era @4 :UInt64;
}

struct NewsDelta {
  complete @0 :Bool;
  revision @1 :UInt64;
  records @2 :List(NewsRecord);
  era @3 :UInt64;
}

interface FleetNews {
  # The answer holds what the caller lacks of the store's records, if it asked for them.
  exchange @0 (report :NewsReport) -> (delta :NewsDelta);
}
