#include "plain_service.h"

namespace zinnia::standins {

namespace json = boost::json;

void PlainService::Handle(Call call, Reply reply) {
  if (call.path == "/bookings/count") {
    reply(200, json::serialize(json::object{{"count", m_bookings}}));
  } else if (call.path == "/bookings/ledger") {
    reply(200, Ledger());
  } else if (call.path == "/bookings" && call.method == "POST") {
    ++m_ledger[{call.request_id, call.body}];
    reply(200, json::serialize(json::object{{"booking", ++m_bookings}}));
  } else {
    reply(200, json::serialize(json::object{{"method", call.method},
                                            {"path", call.path},
                                            {"query", call.query},
                                            {"body", call.body}}));
  }
}

std::string PlainService::Ledger() const {
  json::array rows;
  for (const auto& [row, count] : m_ledger) {
    rows.push_back({{"request_id", row.first}, {"body", row.second}, {"count", count}});
  }
  return json::serialize(json::object{{"rows", std::move(rows)}});
}

}  // namespace zinnia::standins
