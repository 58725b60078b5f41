#pragma once

/** Plain data types of the domain: instances, failure domains, links, backend servers, pipelines,
    organisations, services, configuration and requests. Depends on zinnia_base. */

#include "zinnia_world/configuration/configuration.h"
#include "zinnia_world/configuration/configuration_delta.h"
#include "zinnia_world/configuration/configuration_entry.h"
#include "zinnia_world/contracts/model.h"
#include "zinnia_world/contracts/organisation.h"
#include "zinnia_world/contracts/service_contract.h"
#include "zinnia_world/fleet/accelerator_kind.h"
#include "zinnia_world/fleet/backend_server.h"
#include "zinnia_world/fleet/fleet_snapshot.h"
#include "zinnia_world/fleet/instance.h"
#include "zinnia_world/fleet/layer_range.h"
#include "zinnia_world/fleet/link.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/fleet/pipeline.h"
#include "zinnia_world/fleet/server_load.h"
#include "zinnia_world/names/names.h"
#include "zinnia_world/requests/chat_request.h"
#include "zinnia_world/requests/request_class.h"
