#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <memory>

#include "zinnia_adapters/forwarding/answer_body.h"
#include "zinnia_adapters/forwarding/message_codec.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/forwarding/path_part.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

class ServerConnection;

/** One attempt of a request at a server or a peer, and what has arrived of its answer. */
struct ServerAttempt {
  BackendServerName server;
  NetworkAddress address;

  /** The servers that run the layers; empty for plain services and peers. */
  LayerPath path;
  bool is_at_peer = false;

  /** Null before it is sent, and once the answer has arrived or its connection has failed. */
  std::shared_ptr<ServerConnection> connection;
  TimePoint sent_at{};

  /** Whether the server may have received it: its connection was open, or has been opened. */
  bool may_have_arrived = false;

  unsigned status = 0;
  boost::beast::http::fields fields;
  AnswerFacts answer_facts;
  AnswerBody body;
  bool is_streaming = false;

  /** When the stream began. */
  TimePoint stream_began_at{};

  /** Whether an event has arrived over the current path. */
  bool path_confirmed = false;
  TimePoint last_progress{};

  /** Whether its server is said to have started again, although events still arrive. */
  bool is_said_to_have_ended = false;

  /** Whether its server has outlived the beginning of the answer. */
  bool has_survived = false;

  /** Whether a change of its path is under way, and which one, to discard the answers to others. */
  bool rerouting = false;
  std::uint64_t path_change = 0;
};

}  // namespace zinnia
