#include "zinnia_decisions/forwarding/observed_state/quarantine_records.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <utility>

#include "zinnia_base/logging/logger.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {
namespace {

namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** The shortest and the longest lease that the store grants. */
constexpr milliseconds kShortestLease{1'000};
constexpr milliseconds kLongestLease = std::chrono::minutes(10);

/** No kind of quarantine is longer, and a Duration holds it. */
constexpr milliseconds kLongestQuarantine = std::chrono::hours(24);

constexpr milliseconds kRetryPause{1'000};

/** Store calls are billed, and peers know the quarantine meanwhile. */
constexpr int kMaxAttempts = 8;

constexpr std::size_t kHexDigitsOfHalf = 16;
constexpr const char* kUntilField = "until_unix_ms";
constexpr const char* kDurationField = "duration_ms";

/** Between the name of a kind and a fingerprint. */
constexpr char kKindSeparator = '/';

milliseconds UnixTime(WallTimePoint time) {
  return duration_cast<milliseconds>(time.time_since_epoch());
}

std::optional<std::uint64_t> ReadHex(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return error == std::errc{} && end == text.data() + text.size() ? std::optional(number)
                                                                  : std::nullopt;
}

std::optional<milliseconds> ReadMilliseconds(const json::object& fields, const char* name) {
  const json::value* field = fields.if_contains(name);
  return field != nullptr && field->is_int64() ? std::optional(milliseconds(field->as_int64()))
                                               : std::nullopt;
}

/** Of the records of one kind. */
std::string KeyPrefixOf(SuspectKind kind) {
  const std::string prefix(QuarantineRecords::kKeyPrefix);
  return kind == SuspectKind::kRequest ? prefix
                                       : prefix + std::string(NameOf(kind)) + kKindSeparator;
}

std::optional<Fingerprint> ReadFingerprint(std::string_view hex) {
  if (hex.size() != 2 * kHexDigitsOfHalf) {
    return std::nullopt;
  }
  const auto high = ReadHex(hex.substr(0, kHexDigitsOfHalf));
  const auto low = ReadHex(hex.substr(kHexDigitsOfHalf));
  return high && low ? std::optional(Fingerprint{*high, *low}) : std::nullopt;
}

std::optional<Suspect> ReadKey(std::string_view key) {
  for (const SuspectKind kind : kSuspectKinds) {
    const std::string prefix = KeyPrefixOf(kind);
    const auto fingerprint =
        key.starts_with(prefix) ? ReadFingerprint(key.substr(prefix.size())) : std::nullopt;
    if (fingerprint) {
      return Suspect{kind, *fingerprint};
    }
  }
  return std::nullopt;
}

}  // namespace

QuarantineRecords::QuarantineRecords(PlatformStore& store,
                                     Scheduler& scheduler,
                                     const Clock& clock,
                                     Logger& logger)
    : m_store(store), m_scheduler(scheduler), m_clock(clock), m_logger(logger) {}

QuarantineRecords::~QuarantineRecords() = default;

std::string QuarantineRecords::KeyOf(const Suspect& suspect) {
  return KeyPrefixOf(suspect.kind) + suspect.fingerprint.ToHex();
}

std::optional<QuarantineReport> QuarantineRecords::Decode(const std::string& key,
                                                          const std::string& value,
                                                          WallTimePoint now) {
  const auto suspect = ReadKey(key);
  boost::system::error_code error;
  const json::value parsed = json::parse(value, error);
  const json::object* fields = error ? nullptr : parsed.if_object();
  if (!suspect || fields == nullptr) {
    return std::nullopt;
  }
  const auto until = ReadMilliseconds(*fields, kUntilField);
  const auto duration = ReadMilliseconds(*fields, kDurationField);
  if (!until || !duration || *until <= UnixTime(now)) {
    return std::nullopt;
  }
  if (*duration <= milliseconds(0) || *duration > kLongestQuarantine) {
    return std::nullopt;
  }
  // The writer's clock may be ahead.
  return QuarantineReport{suspect->fingerprint, std::min(*until - UnixTime(now), *duration),
                          *duration, suspect->kind};
}

void QuarantineRecords::Write(const QuarantineReport& quarantine) {
  RemoveExpired();
  const Suspect suspect = SuspectOf(quarantine);
  if (CountOwn(suspect.kind) >= kMaxRecords) {
    LogNotRecorded(suspect, "too many records");
    return;
  }
  Own& own = m_own[suspect];
  own.quarantine = quarantine;
  own.until = m_clock.Now() + quarantine.remaining;
  own.attempts = 0;
  Grant(suspect);
}

void QuarantineRecords::Remove(const Suspect& suspect) {
  const auto own = m_own.extract(suspect);
  if (!own.empty() && own.mapped().lease != 0) {
    m_store.RevokeLease(own.mapped().lease, [](const Result<void>&) {});
  }
}

void QuarantineRecords::OnStoreEraChanged(milliseconds pause) {
  RemoveExpired();
  for (auto& [suspect, own] : m_own) {
    own.attempts = 0;
    Schedule(suspect, pause);
  }
}

milliseconds QuarantineRecords::TimeLeft(const Own& own) const {
  return duration_cast<milliseconds>(own.until - m_clock.Now());
}

std::size_t QuarantineRecords::CountOwn(SuspectKind kind) const {
  return static_cast<std::size_t>(std::count_if(
      m_own.begin(), m_own.end(), [kind](const auto& row) { return row.first.kind == kind; }));
}

void QuarantineRecords::LogNotRecorded(const Suspect& suspect, std::string_view reason) {
  m_logger.Log(LogLevel::kWarning, "quarantine_not_recorded",
               {{"fingerprint", suspect.fingerprint.ToHex()},
                {"kind", std::string(NameOf(suspect.kind))},
                {"reason", std::string(reason)}});
}

void QuarantineRecords::RemoveExpired() {
  std::erase_if(m_own, [this](const auto& row) { return m_clock.Now() >= row.second.until; });
}

void QuarantineRecords::Schedule(const Suspect& suspect, milliseconds pause) {
  m_own.at(suspect).next = m_scheduler.ScheduleAfter(pause, [this, suspect] { Grant(suspect); });
}

void QuarantineRecords::Grant(const Suspect& suspect) {
  const auto own = m_own.find(suspect);
  if (own == m_own.end() || TimeLeft(own->second) < kShortestLease) {
    return;
  }
  if (++own->second.attempts > kMaxAttempts) {
    LogNotRecorded(suspect, "the store has refused the record");
    return;
  }
  m_store.GrantLease(std::min(TimeLeft(own->second), kLongestLease),
                     WhileAlive(m_alive, [this, suspect](const Result<StoreLeaseId>& lease) {
                       if (!m_own.contains(suspect)) {
                         return;
                       }
                       if (lease) {
                         Put(suspect, *lease);
                       } else {
                         Schedule(suspect, kRetryPause);
                       }
                     }));
}

void QuarantineRecords::Put(const Suspect& suspect, StoreLeaseId lease) {
  const Own& own = m_own.at(suspect);
  const milliseconds until = UnixTime(m_clock.WallNow()) + TimeLeft(own);
  const json::object fields = {{kUntilField, until.count()},
                               {kDurationField, own.quarantine.duration.count()}};
  m_store.CompareAndSwap(
      KeyOf(suspect), 0, json::serialize(fields), lease,
      WhileAlive(m_alive, [this, suspect, lease](const Result<std::uint64_t>& result) {
        OnWritten(suspect, lease, result);
      }));
}

void QuarantineRecords::OnWritten(const Suspect& suspect,
                                  StoreLeaseId lease,
                                  const Result<std::uint64_t>& result) {
  const auto own = m_own.find(suspect);
  if (own == m_own.end()) {  // Removed while the record was written.
    m_store.RevokeLease(lease, [](const Result<void>&) {});
    return;
  }
  if (result) {
    own->second.lease = lease;
    m_logger.Log(LogLevel::kInfo, "quarantine_recorded",
                 {{"fingerprint", suspect.fingerprint.ToHex()},
                  {"kind", std::string(NameOf(suspect.kind))},
                  {"revision", std::to_string(*result)}});
  } else if (result.error().kind == ErrorKind::kStoreConflict) {
    m_store.RevokeLease(lease, [](const Result<void>&) {});  // Another instance has written it.
  } else {
    Schedule(suspect, kRetryPause);
  }
}

}  // namespace zinnia
