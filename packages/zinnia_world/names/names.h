#pragma once

#include <cstdint>
#include <string>

namespace zinnia {

/** Identifiers chosen by operators, compared byte by byte. */
using InstanceName = std::string;
using FailureDomainName = std::string;
using RegionName = std::string;
using OrganisationName = std::string;
using BackendServerName = std::string;
using ModelName = std::string;
using PipelineName = std::string;
using ServiceName = std::string;

/** Unique across instances and restarts, as it contains the name and start of the instance that
    opened the session. Backend servers use it as a cache key. */
using SessionName = std::string;

/** Number of an attempt to serve a session. Each recovery or resume increments it; responses to
    earlier attempts are dropped. */
using AttemptNumber = std::uint32_t;

/** Number of an accepted configuration; increases monotonically. */
using ConfigurationRevision = std::uint64_t;

}  // namespace zinnia
