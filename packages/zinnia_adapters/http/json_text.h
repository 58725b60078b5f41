#pragma once

#include <string>
#include <string_view>

namespace zinnia {

/** Appends `text` as a JSON string with quotes. Bytes above 127 pass as they are (UTF-8).

    For hot paths that write the same document shape many thousand times a second, where a document
    tree would cost more than the text; elsewhere use boost::json::serialize. */
void AppendJsonString(std::string& out, std::string_view text);

}  // namespace zinnia
