#pragma once

#include <string_view>

namespace zinnia {

/** The text of schemas/settings.schema.json, so that the binaries need no file beside them. A test
    compares the two; tools that edit settings read the file. */
std::string_view SettingsSchema();

}  // namespace zinnia
