#include "zinnia_decisions/forwarding/observed_state/instance_registration.h"

#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/** Outlasts pauses and two failed renewals, but is short enough that budgets are redistributed soon
    after an instance is lost. Store calls are billed, so renewals are infrequent: eighty instances
   that renew every 2.5 s make 2,000 calls a minute. */
constexpr milliseconds kLeaseDuration{15'000};
constexpr milliseconds kRenewInterval{5'000};

/** The first list of the store's records takes some milliseconds. */
constexpr milliseconds kFirstListDelay{100};

/** Failed store calls are billed too, and peers know this instance from its reports meanwhile. */
constexpr milliseconds kRetryPause{1'000};

/** Far above the cores and the Mbit/s of any machine. */
constexpr double kLargestFigure = 1e9;

std::string ReadText(const json::object& object, const char* name) {
  const json::value* field = object.if_contains(name);
  return field != nullptr && field->is_string() ? std::string(field->as_string()) : std::string();
}

/** Zero if the field is missing, as older versions lack some; nullopt if no Number holds it. */
template <typename Number>
std::optional<Number> ReadWhole(const json::object& object, const char* name) {
  const json::value* field = object.if_contains(name);
  if (field == nullptr) {
    return Number{0};
  }
  boost::system::error_code error = json::error::not_number;
  const auto number = field->is_number() ? field->to_number<Number>(error) : Number{0};
  return error ? std::nullopt : std::optional(number);
}

/** The same for a number from 0 to `kLargestFigure`. */
std::optional<double> ReadFigure(const json::object& object, const char* name) {
  const json::value* field = object.if_contains(name);
  if (field == nullptr) {
    return 0.0;
  }
  const double figure = field->is_number() ? field->to_number<double>() : -1.0;
  return figure >= 0.0 && figure <= kLargestFigure ? std::optional(figure) : std::nullopt;
}

}  // namespace

InstanceRegistration::InstanceRegistration(PlatformStore& store,
                                           Scheduler& scheduler,
                                           Logger& logger,
                                           Instance self)
    : m_store(store), m_scheduler(scheduler), m_logger(logger), m_self(std::move(self)) {}

void InstanceRegistration::Start() {
  ScheduleStep(kFirstListDelay, &InstanceRegistration::Grant);
}

void InstanceRegistration::ScheduleStep(milliseconds pause, void (InstanceRegistration::*step)()) {
  if (!m_stopped) {
    m_timer = m_scheduler.ScheduleAfter(pause, [this, step] { (this->*step)(); });
  }
}

void InstanceRegistration::Grant() {
  m_store.GrantLease(kLeaseDuration, WhileAlive(m_alive, [this](const Result<StoreLeaseId>& lease) {
                       if (!lease) {
                         ScheduleStep(kRetryPause, &InstanceRegistration::Grant);
                         return;
                       }
                       m_lease = *lease;
                       Write(m_known_version);
                     }));
}

/** Reads the stored version after a write conflicted with a record of an earlier run or was applied
    without a response. */
void InstanceRegistration::ReadBack() {
  m_store.Get(std::string(kKeyPrefix) + m_self.name,
              WhileAlive(m_alive, [this](const Result<std::optional<StoreRecord>>& record) {
                if (!record) {
                  ScheduleStep(kRetryPause, &InstanceRegistration::ReadBack);
                  return;
                }
                Write(*record ? (*record)->version : 0);
              }));
}

void InstanceRegistration::Write(std::uint64_t expected_version) {
  m_store.CompareAndSwap(std::string(kKeyPrefix) + m_self.name, expected_version, Encode(m_self),
                         m_lease, WhileAlive(m_alive, [this](const Result<std::uint64_t>& result) {
                           if (result) {
                             m_is_record_in_doubt = false;
                             m_logger.Log(LogLevel::kInfo, "instance_registered",
                                          {{"revision", std::to_string(*result)}});
                             ScheduleStep(kRenewInterval, &InstanceRegistration::Renew);
                           } else if (result.error().kind == ErrorKind::kNotFound) {
                             ScheduleStep(kRetryPause, &InstanceRegistration::Grant);
                           } else {
                             ScheduleStep(kRetryPause, &InstanceRegistration::ReadBack);
                           }
                         }));
}

void InstanceRegistration::OnStoreEraChanged(milliseconds pause) {
  if (m_lease == 0) {
    return;  // Registration is under way.
  }
  m_is_record_in_doubt = true;
  m_check_pause = pause;
  ScheduleStep(pause, &InstanceRegistration::Renew);
}

void InstanceRegistration::Renew() {
  m_store.KeepLeaseAlive(m_lease, WhileAlive(m_alive, [this](const Result<void>& result) {
                           if (!result && result.error().kind == ErrorKind::kNotFound) {
                             m_logger.Log(LogLevel::kWarning, "instance_record_lapsed", {});
                             m_known_version = 0;
                             ScheduleStep(m_is_record_in_doubt ? m_check_pause : kRetryPause,
                                          &InstanceRegistration::Grant);
                             return;
                           }
                           if (result && std::exchange(m_is_record_in_doubt, false)) {
                             ReadBack();
                             return;
                           }
                           ScheduleStep(m_is_record_in_doubt ? kRetryPause : kRenewInterval,
                                        &InstanceRegistration::Renew);
                         }));
}

void InstanceRegistration::Stop() {
  m_stopped = true;
  m_timer.reset();
  if (m_lease != 0) {
    m_store.RevokeLease(m_lease, [](const Result<void>&) {});
  }
}

std::string InstanceRegistration::Encode(const Instance& instance) {
  return json::serialize(json::object{{"address", instance.peer_address.ToString()},
                                      {"failure_domain", instance.failure_domain},
                                      {"region", instance.region},
                                      {"start", instance.start},
                                      {"requests_port", instance.requests_port},
                                      {"cores", instance.cores},
                                      {"link_mbps", instance.link_mbps}});
}

std::optional<Instance> InstanceRegistration::Decode(const std::string& key,
                                                     const std::string& value) {
  if (!key.starts_with(kKeyPrefix)) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const json::value parsed = json::parse(value, error);
  const json::object* object = error ? nullptr : parsed.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto address = NetworkAddress::Parse(ReadText(*object, "address"));
  const auto start = ReadWhole<std::uint64_t>(*object, "start");
  const auto requests_port = ReadWhole<std::uint16_t>(*object, "requests_port");
  const auto cores = ReadFigure(*object, "cores");
  const auto link_mbps = ReadFigure(*object, "link_mbps");
  if (!address || address->port == 0 || !start || !requests_port || !cores || !link_mbps) {
    return std::nullopt;
  }
  Instance instance;
  instance.name = key.substr(kKeyPrefix.size());
  instance.peer_address = *address;
  instance.failure_domain = ReadText(*object, "failure_domain");
  instance.region = ReadText(*object, "region");
  instance.start = *start;
  instance.requests_port = *requests_port;
  instance.cores = *cores;
  instance.link_mbps = *link_mbps;
  return instance;
}

}  // namespace zinnia
