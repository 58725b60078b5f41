#pragma once

#include <string>
#include <vector>

#include "zinnia_world/configuration/configuration.h"

namespace zinnia {

/** The body of GET /v1/models. */
std::string ModelsJson(const Configuration& configuration);

/** The body of GET /ready: {"ready":bool,"reasons":[...]}. */
std::string ReadyJson(const std::vector<std::string>& reasons);

}  // namespace zinnia
