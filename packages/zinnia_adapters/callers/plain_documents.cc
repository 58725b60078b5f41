#include "zinnia_adapters/callers/plain_documents.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_from.hpp>
#include <utility>

namespace zinnia {

namespace json = boost::json;

std::string ModelsJson(const Configuration& configuration) {
  json::array models;
  for (const auto& [name, model] : configuration.models()) {
    models.push_back({{"id", name}, {"object", "model"}, {"owned_by", "zinniastage"}});
  }
  return json::serialize(json::object{{"object", "list"}, {"data", std::move(models)}});
}

std::string ReadyJson(const std::vector<std::string>& reasons) {
  return json::serialize(
      json::object{{"ready", reasons.empty()}, {"reasons", json::value_from(reasons)}});
}

}  // namespace zinnia
