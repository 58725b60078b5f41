#include "zinnia_decisions/quarantine/crash_quarantine.h"

#include <algorithm>
#include <utility>

#include "zinnia_decisions/membership/rendezvous.h"

namespace zinnia {
namespace {

constexpr std::size_t kMaxFingerprintsPerRumour = 40;

/** Crash reports for one server closer than this are of one crash: no server restarts as fast. */
constexpr Duration kSameCrashWindow = std::chrono::seconds(1);

}  // namespace

std::vector<Fingerprint> CrashQuarantine::OnCrash(const CrashRumour& rumour, TimePoint now) {
  const Duration age = std::chrono::milliseconds(rumour.age_ms);
  if (age >= m_settings.quarantine_for) {
    return {};
  }
  const CrashKey key = KeyOf(rumour, now - age);
  Crash& crash = m_crashes.try_emplace(key, Crash{now - age, {}, {}, std::nullopt}).first->second;
  std::vector<Fingerprint> new_evidence;
  for (const Fingerprint& fingerprint : rumour.fingerprints) {
    const bool is_known = crash.fingerprints.contains(fingerprint);
    if (!is_known && crash.fingerprints.size() >= m_settings.max_fingerprints_per_crash) {
      continue;
    }
    const bool is_new_evidence = rumour.alone && crash.alone.insert(fingerprint).second;
    if (!is_known) {
      crash.fingerprints.insert(fingerprint);
      m_suspects[fingerprint].push_back(key);
    }
    if (!is_known || is_new_evidence) {
      new_evidence.push_back(fingerprint);
    }
  }
  for (const Fingerprint& fingerprint : new_evidence) {
    QuarantineIfProven(fingerprint);
  }
  EvictOverLimits();
  return new_evidence;
}

// An instance that sees the restart before it reports the crash names the new incarnation. Counting
// that as a second crash would quarantine requests in flight through two instances at the first.
CrashQuarantine::CrashKey CrashQuarantine::KeyOf(const CrashRumour& rumour, TimePoint at) const {
  for (auto row = m_crashes.lower_bound({rumour.server, 0});
       row != m_crashes.end() && row->first.first == rumour.server; ++row) {
    if (std::chrono::abs(row->second.at - at) < kSameCrashWindow) {
      return row->first;
    }
  }
  return {rumour.server, rumour.incarnation};
}

bool CrashQuarantine::IsProven(const Fingerprint& fingerprint,
                               const std::vector<CrashKey>& crashes) const {
  if (crashes.size() < 2) {
    return false;
  }
  TimePoint first = TimePoint::max();
  TimePoint last = TimePoint::min();
  bool ran_alone = false;
  for (const CrashKey& key : crashes) {
    const Crash& crash = m_crashes.at(key);
    first = std::min(first, crash.at);
    last = std::max(last, crash.at);
    ran_alone = ran_alone || crash.alone.contains(fingerprint);
  }
  return ran_alone || last - first >= m_settings.report_propagation_time;
}

void CrashQuarantine::QuarantineIfProven(const Fingerprint& fingerprint) {
  const std::vector<CrashKey>& crashes = m_suspects[fingerprint];
  if (!IsProven(fingerprint, crashes)) {
    return;
  }
  TimePoint last{};
  for (const CrashKey& key : crashes) {
    Crash& crash = m_crashes.at(key);
    last = std::max(last, crash.at);
    crash.explained_at = crash.explained_at.value_or(crash.at);
  }
  for (const CrashKey& key : crashes) {
    Crash& crash = m_crashes.at(key);
    crash.explained_at = std::max(*crash.explained_at, last);
  }
  m_quarantined_since[fingerprint] = last;
}

bool CrashQuarantine::Tick(TimePoint now) {
  const bool explained = DropExplained(now);
  const bool expired = DropExpired(now);
  return explained || expired;
}

// Delayed by `hold`: another instance may still report a second fingerprint in flight at both
// crashes, which leaves the cause ambiguous.
bool CrashQuarantine::DropExplained(TimePoint now) {
  bool changed = false;
  for (auto& [key, crash] : m_crashes) {
    if (!crash.explained_at || now - *crash.explained_at < m_settings.hold) {
      continue;
    }
    const std::unordered_set<Fingerprint> fingerprints = crash.fingerprints;
    for (const Fingerprint& fingerprint : fingerprints) {
      if (!IsQuarantined(fingerprint) && m_suspects.contains(fingerprint)) {
        Forget(fingerprint, key);
        changed = true;
      }
    }
  }
  return changed;
}

bool CrashQuarantine::DropExpired(TimePoint now) {
  bool changed = std::erase_if(m_quarantined_since, [&](const auto& row) {
                   return now - row.second >= m_settings.quarantine_for;
                 }) > 0;
  for (auto row = m_crashes.begin(); row != m_crashes.end();) {
    auto& [key, crash] = *row;
    const bool proof =
        std::any_of(crash.fingerprints.begin(), crash.fingerprints.end(),
                    [this](const Fingerprint& fingerprint) { return IsQuarantined(fingerprint); });
    if (proof || now - crash.at < m_settings.suspect_for) {
      ++row;
      continue;
    }
    for (const Fingerprint& fingerprint : crash.fingerprints) {
      Forget(fingerprint, key);
    }
    row = m_crashes.erase(row);
    changed = true;
  }
  return changed;
}

void CrashQuarantine::Forget(const Fingerprint& fingerprint, const CrashKey& crash) {
  const auto suspect = m_suspects.find(fingerprint);
  if (suspect == m_suspects.end()) {
    return;
  }
  std::erase(suspect->second, crash);
  if (suspect->second.empty()) {
    m_suspects.erase(suspect);
  }
}

void CrashQuarantine::EvictOverLimits() {
  while (m_crashes.size() > m_settings.max_crashes) {
    const auto oldest = std::min_element(
        m_crashes.begin(), m_crashes.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
    for (const Fingerprint& fingerprint : oldest->second.fingerprints) {
      Forget(fingerprint, oldest->first);
    }
    m_crashes.erase(oldest);
  }
  while (m_quarantined_since.size() > m_settings.max_quarantined) {
    m_quarantined_since.erase(std::min_element(
        m_quarantined_since.begin(), m_quarantined_since.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; }));
  }
}

bool CrashQuarantine::IsQuarantined(const Fingerprint& fingerprint) const {
  return m_quarantined_since.contains(fingerprint);
}

bool CrashQuarantine::IsSuspect(const Fingerprint& fingerprint) const {
  return m_suspects.contains(fingerprint);
}

bool CrashQuarantine::IsOwner(const Fingerprint& fingerprint) const {
  const std::string subject = fingerprint.ToHex();
  const auto own = std::pair(RendezvousWeight(subject, m_self), m_self);
  return std::none_of(m_live.begin(), m_live.end(), [&](const Instance& instance) {
    return std::pair(RendezvousWeight(subject, instance.name), instance.name) > own;
  });
}

bool CrashQuarantine::IsInHoldPeriod(const Fingerprint& fingerprint, TimePoint now) const {
  const std::vector<CrashKey>& crashes = m_suspects.at(fingerprint);
  return std::any_of(crashes.begin(), crashes.end(), [&](const CrashKey& key) {
    return now - m_crashes.at(key).at < m_settings.hold;
  });
}

bool CrashQuarantine::Claim(const Fingerprint& fingerprint, TimePoint now) {
  if (IsQuarantined(fingerprint)) {
    return false;
  }
  if (!IsSuspect(fingerprint)) {
    return true;
  }
  return IsOwner(fingerprint) && !IsInHoldPeriod(fingerprint, now) &&
         m_claimed.insert(fingerprint).second;
}

void CrashQuarantine::Release(const Fingerprint& fingerprint) {
  m_claimed.erase(fingerprint);
}

void CrashQuarantine::SetInstances(const InstanceName& self, std::vector<Instance> live) {
  m_self = self;
  m_live = std::move(live);
}

std::shared_ptr<const QuarantineSnapshot> CrashQuarantine::BuildSnapshot(TimePoint now) const {
  std::unordered_set<Fingerprint> quarantined;
  for (const auto& [fingerprint, since] : m_quarantined_since) {
    quarantined.insert(fingerprint);
  }
  std::unordered_map<Fingerprint, bool> suspects;
  for (const auto& [fingerprint, crashes] : m_suspects) {
    suspects[fingerprint] = IsOwner(fingerprint) && !IsInHoldPeriod(fingerprint, now);
  }
  return std::make_shared<const QuarantineSnapshot>(std::move(quarantined), std::move(suspects));
}

std::vector<QuarantineRow> CrashQuarantine::Rows(TimePoint now) const {
  std::vector<QuarantineRow> rows;
  for (const auto& [fingerprint, crashes] : m_suspects) {
    QuarantineRow row{fingerprint, IsQuarantined(fingerprint), {}, {}};
    TimePoint last{};
    for (const CrashKey& key : crashes) {
      row.crashed_servers.push_back(key.first);
      last = std::max(last, m_crashes.at(key).at);
    }
    const Duration lifetime = row.quarantined ? m_settings.quarantine_for : m_settings.suspect_for;
    row.remaining = std::max(Duration::zero(), last + lifetime - now);
    rows.push_back(std::move(row));
  }
  std::sort(rows.begin(), rows.end(), [](const QuarantineRow& left, const QuarantineRow& right) {
    return std::pair(left.fingerprint.high, left.fingerprint.low) <
           std::pair(right.fingerprint.high, right.fingerprint.low);
  });
  return rows;
}

std::vector<CrashRumour> CrashQuarantine::Rumours(TimePoint now) const {
  std::vector<CrashRumour> rumours;
  for (const auto& [key, crash] : m_crashes) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - crash.at);
    for (const bool alone : {false, true}) {
      CrashRumour rumour{key.first, key.second, {}, static_cast<std::uint32_t>(age.count()), alone};
      for (const Fingerprint& fingerprint : crash.fingerprints) {
        if (m_suspects.contains(fingerprint) && crash.alone.contains(fingerprint) == alone) {
          rumour.fingerprints.push_back(fingerprint);
        }
        if (rumour.fingerprints.size() == kMaxFingerprintsPerRumour) {
          rumours.push_back(rumour);
          rumour.fingerprints.clear();
        }
      }
      if (!rumour.fingerprints.empty()) {
        rumours.push_back(std::move(rumour));
      }
    }
  }
  return rumours;
}

}  // namespace zinnia
