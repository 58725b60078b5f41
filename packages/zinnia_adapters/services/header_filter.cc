#include "zinnia_adapters/services/header_filter.h"

#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace zinnia {
namespace {

namespace http = boost::beast::http;

constexpr std::array kHopByHop = {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
};

}  // namespace

void RemoveHopByHopFields(http::fields& fields) {
  std::vector<std::string> named;
  const auto lists = fields.equal_range(http::field::connection);
  for (auto list = lists.first; list != lists.second; ++list) {
    for (const auto& token : http::token_list(list->value())) {
      named.emplace_back(token);
    }
  }
  for (const std::string& name : named) {
    fields.erase(name);
  }
  for (const http::field field : kHopByHop) {
    fields.erase(field);
  }
}

}  // namespace zinnia
