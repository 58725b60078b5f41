@0xd2f1c8a94b7e6035;

# What instances say to each other: the probe datagram, and the calls. Only ever add fields and
# union members at the end: during an upgrade, instances of two versions run side by side.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinnia::wire");

struct Fingerprint {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Instance {
  name @0 :Text;
  ip @1 :Text;
  port @2 :UInt16;
  failureDomain @3 :Text;
  region @4 :Text;
  start @5 :UInt64;
}

struct ConfigurationEntry {
  path @0 :Text;
  revision @1 :UInt64;
  removed @2 :Bool;
  value @3 :Text;
}

struct ConfigurationDelta {
  after @0 :UInt64;
  revision @1 :UInt64;
  entries @2 :List(ConfigurationEntry);
}

enum MemberState {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

struct MemberRumour {
  instance @0 :Instance;
  incarnation @1 :UInt64;
  state @2 :MemberState;
}

struct LeavingRumour {
  server @0 :Text;
  incarnation @1 :UInt64;
}

struct CrashRumour {
  server @0 :Text;
  incarnation @1 :UInt64;
  fingerprints @2 :List(Fingerprint);
  ageMs @3 :UInt32;
  alone @4 :Bool;
}

struct Rumour {
  union {
    member @0 :MemberRumour;
    leaving @1 :LeavingRumour;
    crash @2 :CrashRumour;
    configuration @3 :ConfigurationDelta;
  }
}

enum ProbeKind {
  ping @0;
  pingRequest @1;
  ack @2;
}

struct Probe {
  kind @0 :ProbeKind;
  sequence @1 :UInt64;
  sender @2 :Instance;
  senderIncarnation @3 :UInt64;
  target @4 :Instance;  # Null if there is none.
  revision @5 :UInt64;
  rumours @6 :List(Rumour);
}

struct IntentRequest {
  partition @0 :UInt32;
  organisation @1 :Text;
  key @2 :Text;
  request @3 :Fingerprint;
  askingInstance @4 :Text;
  requestId @5 :Text;
}

struct RecordedAnswer {
  status @0 :UInt32;
  contentType @1 :Text;
  body @2 :Data;
  bodyDropped @3 :Bool;
}

enum IntentVerdict {
  granted @0;
  answered @1;
  started @2;
  keyReused @3;
}

struct IntentReply {
  verdict @0 :IntentVerdict;
  epoch @1 :UInt64;
  answer @2 :RecordedAnswer;  # Null if there is none.
  validForMs @3 :UInt32;
}

struct IntentOutcome {
  partition @0 :UInt32;
  organisation @1 :Text;
  key @2 :Text;
  requestId @3 :Text;
  answer @4 :RecordedAnswer;  # Null if there is none.
}

enum WasRun {
  no @0;
  yes @1;
  unknown @2;
}

struct Error {
  kind @0 :Text;  # The stable name of the kind.
  message @1 :Text;
  remedy @2 :Text;
  wasRun @3 :WasRun;
  hasRetryAfter @4 :Bool;
  retryAfterMs @5 :UInt64;
}

struct IntentResult {
  union {
    reply @0 :IntentReply;
    error @1 :Error;
  }
}

struct OutcomeResult {
  union {
    done @0 :Void;
    error @1 :Error;
  }
}

interface Peer {
  fetchConfiguration @0 (after :UInt64) -> (delta :ConfigurationDelta);
  beginIntent @1 (request :IntentRequest) -> (result :IntentResult);
  reportOutcome @2 (outcome :IntentOutcome) -> (result :OutcomeResult);
}

# What a connection offers before both ends have shown that they know the cluster's secret.
interface Gate {
  challenge @0 () -> (serverNonce :Data);
  authenticate @1 (clientNonce :Data, proof :Data) -> (peer :Peer, proof :Data);
}
