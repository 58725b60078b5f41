#pragma once

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "zinnia_world/forwarding/path_part.h"
#include "zinnia_world/forwarding/request_facts.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** What forwarding adds to a request on its way to a server. */
struct ForwardingMarks {
  /** What is left of the time that the caller waits. */
  std::chrono::milliseconds deadline_left{0};

  /** A server that is not this one refuses the request: its address may have been reused. */
  BackendServerName server;

  /** Empty for public routes. */
  OrganisationName organisation;

  /** The servers that run the layers; empty for plain services. */
  LayerPath path;

  /** Replaces the caller's own, when a stream goes on at another server. */
  std::optional<std::uint64_t> last_event_id;
};

/** What a server's answer says beside status and body. */
struct AnswerFacts {
  /** The server vouches that it has not run the request and never will. */
  bool not_run = false;

  /** The request that the answer belongs to; empty if it does not say. */
  std::string request_id;

  /** Whether it bears the server's signature, without which a success is not the server's. */
  bool is_signed = false;

  /** The "IP:PORT" of the server on the path that is at fault for a refusal; may be empty. */
  std::string server_at_fault;

  /** How many requests a second the server takes from all instances together, if it says so. */
  std::optional<double> requests_per_second;
};

/** The names and formats in which requests and answers carry what forwarding needs to know. */
class MessageCodec {
 public:
  using Fields = boost::beast::http::fields;

  virtual ~MessageCodec() = default;
  virtual RequestFacts ReadRequest(const Fields& fields) const = 0;

  /** Removes what servers must not see, among it the caller's key, and adds the marks. */
  virtual void MarkRequest(Fields& fields, const ForwardingMarks& marks) const = 0;

  virtual AnswerFacts ReadAnswer(unsigned status, const Fields& fields) const = 0;
};

}  // namespace zinnia
