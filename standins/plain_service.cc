#include "platform_standins.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace zinnia::standins {

namespace json = boost::json;

namespace {

class PlainService : public Standin {
 public:
  void Handle(Call call, Reply reply) override {
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

  void Control(const boost::json::object&) override {}

 private:
  std::string Ledger() const {
    json::array rows;
    for (const auto& [row, count] : m_ledger) {
      rows.push_back({{"request_id", row.first}, {"body", row.second}, {"count", count}});
    }
    return json::serialize(json::object{{"rows", std::move(rows)}});
  }

  std::uint64_t m_bookings = 0;
  std::map<std::pair<std::string, std::string>, std::uint64_t> m_ledger;  // (request id, body)
};

}  // namespace

std::unique_ptr<Standin> MakePlainService() {
  return std::make_unique<PlainService>();
}

}  // namespace zinnia::standins
