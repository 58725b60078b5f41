#pragma once

#include <boost/asio.hpp>
#include <string>

#include "standin.h"

namespace zinnia::standins {

/** The platform's list of instances and backend servers. A list set through `/control` is served
    only after `list_lag_ms`, the first one at once. */
class InstanceList : public Standin {
 public:
  InstanceList(boost::asio::io_context& context, std::string first_list);

  void Handle(Call call, Reply reply) override;
  void Control(const boost::json::object& settings) override;

 private:
  boost::asio::io_context& m_context;
  std::string m_list;
  std::int64_t m_lag_ms = 0;
};

}  // namespace zinnia::standins
