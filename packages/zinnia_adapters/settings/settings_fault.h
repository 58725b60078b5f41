#pragma once

#include <string>

namespace zinnia {

/** One thing that is wrong in a settings file: the path of the field ("limits.max_body_bytes";
   empty for the whole file), what is wrong with it and what to write in its place. */
struct SettingsFault {
  std::string path;
  std::string what;
  std::string remedy;

  bool operator==(const SettingsFault&) const = default;
};

/** "path: what (remedy)". */
std::string Describe(const SettingsFault& fault);

}  // namespace zinnia
