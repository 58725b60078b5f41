#pragma once

#include <capnp/blob.h>

#include <string>

namespace zinnia {

inline capnp::Data::Reader ToWireData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

inline std::string FromWireData(capnp::Data::Reader data) {
  const auto chars = data.asChars();
  return {chars.begin(), chars.size()};
}

inline capnp::Text::Reader ToWireText(const std::string& text) {
  return {text.c_str(), text.size()};
}

inline std::string FromWireText(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

}  // namespace zinnia
