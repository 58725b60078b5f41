#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "standin.h"

namespace zinnia::standins {

/** A plain service with a bookings ledger: shows whether a call that may not be repeated was run
    twice. Other paths answer with what was sent, so that a mixed-up answer shows. */
class PlainService : public Standin {
 public:
  void Handle(Call call, Reply reply) override;
  void Control(const boost::json::object&) override {}

 private:
  std::string Ledger() const;

  std::uint64_t m_bookings = 0;
  std::map<std::pair<std::string, std::string>, std::uint64_t> m_ledger;  // (request id, body)
};

}  // namespace zinnia::standins
