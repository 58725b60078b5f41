#include "zinnia_adapters/http/long_fields.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace zinnia {
namespace {

std::string_view ContainerName(std::string_view name) {
  return name.substr(0, LongFields::kMostContainerBytes);
}

}  // namespace

bool LongFields::IsLong(std::string_view name, std::string_view value) {
  return name.size() > kMostContainerBytes || value.size() > kMostContainerBytes;
}

void LongFields::Add(boost::beast::http::fields& container,
                     std::string_view name,
                     std::string_view value) {
  const std::string_view container_name = ContainerName(name);
  m_fields.push_back({std::string(name), std::string(value), container.count(container_name)});
  container.insert(container_name, "");
}

const LongField* LongFields::Find(std::string_view container_name, std::size_t occurrence) const {
  const auto found = std::find_if(m_fields.begin(), m_fields.end(), [&](const LongField& field) {
    return field.occurrence == occurrence &&
           boost::beast::iequals(ContainerName(field.name), container_name);
  });
  return found == m_fields.end() ? nullptr : &*found;
}

}  // namespace zinnia
