#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "zinnia_base/errors/result.h"
#include "zinnia_base/logging/logger.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Bounds on what one instance takes in. */
struct InstanceLimits {
  std::size_t max_body_bytes = 1'048'576;
  std::size_t max_header_bytes = 16'384;
  std::size_t max_sessions = 20'000;
  std::size_t max_connections = 40'000;
};

/** The settings of one zinniad: its own name and place, addresses, secret files and limits.

    Only what differs between instances stands here; everything that operators change at run time is
    in the Configuration. Read once at start. Fields that the file leaves out keep these defaults.

    @see CheckSettings, docs/OPERATIONS.md
*/
struct InstanceSettings {
  InstanceName instance;
  RegionName region;
  FailureDomainName failure_domain;
  NetworkAddress callers_address;
  NetworkAddress operators_address;
  NetworkAddress peer_address;
  std::vector<NetworkAddress> store_addresses;
  NetworkAddress instance_list_address;
  std::vector<NetworkAddress> seeds;
  std::string cluster_secret_file;
  std::string resume_secret_file;
  std::string operator_key_file;
  LogLevel log_level = LogLevel::kInfo;
  std::uint32_t traffic_threads = 2;
  std::chrono::milliseconds drain_timeout{600'000};
  bool metrics_need_key = true;
  InstanceLimits limits;

  /** Fails with kInvalidSettings; the message names every fault with its field and remedy. */
  static Result<InstanceSettings> Parse(const std::string& text);

  /** Reads and parses a file. */
  static Result<InstanceSettings> Load(const std::string& file_name);
};

}  // namespace zinnia
