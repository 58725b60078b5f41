#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia_adapters/http/answer_limits.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Settings of an instance that forwards by the routes of the platform's store. Plain data: Load
    checks it. docs/OPERATIONS.md lists the fields. */
struct ForwardingSettings {
  InstanceName instance;
  FailureDomainName failure_domain;
  RegionName region;
  NetworkAddress callers_address;
  NetworkAddress readiness_address;
  NetworkAddress peer_address;

  /** Where requests come in that other instances cannot take to a backend server themselves. */
  std::optional<NetworkAddress> peer_requests_address;
  NetworkAddress metrics_address;
  NetworkAddress store_address;
  std::vector<NetworkAddress> seeds;

  /** What the machine gives this instance, so that shared work falls on those with most. 0: not
      said. */
  double cores = 0.0;
  double link_mbps = 0.0;

  /** From the request to stop until the process is killed. */
  std::chrono::milliseconds stop_grace{8'000};

  /** How long backend servers work on after they announced their departure. */
  std::chrono::milliseconds departure_notice{2'000};

  /** From the acknowledgement of a configuration until it is in force everywhere. */
  std::chrono::milliseconds change_bound{2'000};

  /** The bound on retries that all instances keep together. */
  double retry_budget_ratio = 0.2;
  double retry_budget_slack = 0.0;
  std::chrono::milliseconds retry_budget_window{10'000};

  /** Of one answer of a server, and of what all answers in hand hold together. */
  AnswerLimits answer_limits;
  std::size_t answers_in_hand_bytes = kAnswersInHandBytes;

  /** Whether engines refuse orders with an old fencing number. */
  bool engines_check_fencing = true;
  LogLevel log_level = LogLevel::kInfo;

  /** Of the settings object; schemas/forwarding_settings.schema.json describes each. */
  static std::span<const std::string_view> FieldNames();

  /** Fails with kInvalidSettings naming the field and what it should be. */
  static Result<ForwardingSettings> Load(const std::string& file);
  static Result<ForwardingSettings> Parse(const std::string& text);
};

}  // namespace zinnia
