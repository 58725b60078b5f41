#pragma once

#include <boost/json.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace zinnia::standins {

/** One HTTP call as a stand-in sees it. */
struct Call {
  std::string method;
  std::string path;
  std::string query;
  std::string request_id;
  std::string body;
};

/** Sends the answer of one call: status and JSON body. To be called once, now or later. */
using Reply = std::function<void(unsigned status, std::string body)>;

/** An outside system that a test program plays. HttpServer gives it the calls; faults that all
    stand-ins share (delay, drop, lost answer, outage) are done there, before and after Handle. */
class Standin {
 public:
  virtual ~Standin() = default;

  /** Throws std::exception for a body it can't read: the caller gets a 400. */
  virtual void Handle(Call call, Reply reply) = 0;

  /** Settings from `POST /control` that only this stand-in knows. */
  virtual void Control(const boost::json::object& settings) = 0;
};

/** The body of an error answer. */
inline std::string ErrorBody(std::string_view error, std::string_view detail = {}) {
  return boost::json::serialize(boost::json::object{{"error", error}, {"detail", detail}});
}

/** `settings[name]` as a number, if it is there, into `target`. */
template <typename Number>
void ReadNumber(const boost::json::object& settings, std::string_view name, Number& target) {
  if (const boost::json::value* value = settings.if_contains(name)) {
    target = value->to_number<Number>();
  }
}

}  // namespace zinnia::standins
