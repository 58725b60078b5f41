#pragma once

#include <cstdint>
#include <string>

namespace zinnia {

/** Names of things in the world. All are plain strings that operators chose, compared as they are.
 */
using InstanceName = std::string;
using FailureDomainName = std::string;
using RegionName = std::string;
using OrganisationName = std::string;
using BackendServerName = std::string;
using ModelName = std::string;
using PipelineName = std::string;
using ServiceName = std::string;

/** Unique over all instances and restarts: it carries the name and start of the instance that
    opened the session. Backend servers key their caches with it. */
using SessionName = std::string;

/** Counts the chains that served one session: each recovery or resume takes the next number, and
    answers of a lower one are dropped. */
using AttemptNumber = std::uint32_t;

/** Counts accepted configurations. Only ever moves up. */
using ConfigurationRevision = std::uint64_t;

}  // namespace zinnia
