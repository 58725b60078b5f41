#pragma once

#include <string>
#include <vector>

#include "zinnia_adapters/settings/settings_fault.h"

namespace zinnia {

/** Finds every fault in the text of a settings file: first against the schema, then what a schema
    cannot say (IP numbers, addresses that clash). No faults: InstanceSettings::Parse accepts it.

    @see InstanceSettings, SettingsSchema
*/
std::vector<SettingsFault> CheckSettings(const std::string& text);

}  // namespace zinnia
