#pragma once

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "zinnia_decisions/forwarding/limits/server_notices.h"
#include "zinnia_world/forwarding/path_part.h"
#include "zinnia_world/forwarding/request_facts.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Metadata added to a forwarded request. */
struct ForwardingMarks {
  /** Time left until the request's deadline. */
  std::chrono::milliseconds deadline_left{0};

  /** The intended server; another one that reuses its address rejects the request. */
  BackendServerName server;

  /** Empty for public routes. */
  OrganisationName organisation;

  /** The servers that run the layers; empty for plain services. */
  LayerPath path;

  /** Order in which a server admits queued requests; 0 is the first. Not set for services whose
      requests are all equally urgent. */
  std::optional<std::uint32_t> priority;

  /** Replaces the caller's value when a stream continues on another server. */
  std::optional<std::uint64_t> last_event_id;
};

/** Metadata of a server's answer. */
struct AnswerFacts {
  /** The server guarantees that it has not run the request and never will. */
  bool not_run = false;

  /** The request that is answered; empty if not given. */
  std::string request_id;

  /** Whether the answer is signed by the server; an unsigned success is not accepted. */
  bool is_signed = false;

  /** The "IP:PORT" of the server on the path that is at fault for a refusal; may be empty. */
  std::string server_at_fault;

  ServerNotices notices;
};

/** Reads and writes the forwarding metadata in the header fields of requests and answers. */
class MessageCodec {
 public:
  using Fields = boost::beast::http::fields;

  virtual ~MessageCodec() = default;
  virtual RequestFacts ReadRequest(const Fields& fields) const = 0;

  /** Removes fields that servers must not see, such as the caller's key, and adds the marks. */
  virtual void MarkRequest(Fields& fields, const ForwardingMarks& marks) const = 0;

  /** Sets the deadline and the last event in a request for a peer, which forwards it as if it came
      from the caller. */
  virtual void MarkRequestForPeer(Fields& fields, const ForwardingMarks& marks) const = 0;

  virtual AnswerFacts ReadAnswer(unsigned status, const Fields& fields) const = 0;
};

}  // namespace zinnia
