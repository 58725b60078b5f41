#include "zinnia_adapters/operators/decision_log.h"

#include <algorithm>
#include <utility>

#include "zinnia_adapters/operators/decisions_table.h"
#include "zinnia_base/logging/logger.h"

namespace zinnia {
namespace {

constexpr std::size_t kMostTextBytes = 512;
constexpr std::size_t kMostFacts = 32;
// The record itself, its place in the deque and its entry in the index.
constexpr std::size_t kBytesBesideText = 320;
constexpr std::size_t kBytesBesideFact = 64;

void Cut(std::string& text) {
  if (text.size() > kMostTextBytes) {
    text.resize(kMostTextBytes);
    text.shrink_to_fit();
    text += "...";
  }
}

void CutToSize(DecisionRecord& record) {
  Cut(record.subject);
  Cut(record.decision);
  Cut(record.reason);
  if (record.facts.size() > kMostFacts) {
    record.facts.resize(kMostFacts);
    record.facts.shrink_to_fit();
  }
  for (auto& [name, value] : record.facts) {
    Cut(name);
    Cut(value);
  }
}

std::size_t BytesOf(const DecisionRecord& record) {
  // The subject stands twice: in the record and in the index.
  std::size_t bytes =
      kBytesBesideText + 2 * record.subject.size() + record.decision.size() + record.reason.size();
  for (const auto& [name, value] : record.facts) {
    bytes += kBytesBesideFact + name.size() + value.size();
  }
  return bytes;
}

LogLevel LevelOf(const DecisionRecord& record) {
  const bool frequent =
      record.subject.starts_with("session ") || record.subject.starts_with("request ");
  return frequent ? LogLevel::kDebug : LogLevel::kInfo;
}

}  // namespace

DecisionLog::DecisionLog(Logger& logger, DecisionLogLimits limits)
    : m_logger(logger), m_limits(limits) {}

void DecisionLog::Record(DecisionRecord record) {
  CutToSize(record);
  m_logger.Log(LevelOf(record), "decision",
               {{"decision", record.decision},
                {"subject", record.subject},
                {"reason", record.reason},
                {"facts", JoinFacts(record)}});
  const std::lock_guard lock(m_mutex);
  Append(std::move(record));
  while (m_records.size() > m_limits.most_records || m_bytes > m_limits.most_bytes) {
    DropOldest();
  }
}

void DecisionLog::Append(DecisionRecord record) {
  m_by_subject.emplace(record.subject, m_first_sequence + m_records.size());
  m_bytes += BytesOf(record);
  m_records.push_back(std::move(record));
}

void DecisionLog::DropOldest() {
  const DecisionRecord& oldest = m_records.front();
  m_by_subject.erase({oldest.subject, m_first_sequence});
  m_bytes -= BytesOf(oldest);
  m_records.pop_front();
  ++m_first_sequence;
}

const DecisionRecord& DecisionLog::At(std::uint64_t sequence) const {
  return m_records.at(sequence - m_first_sequence);
}

std::vector<DecisionRecord> DecisionLog::Find(const std::string& subject) const {
  const std::lock_guard lock(m_mutex);
  std::vector<DecisionRecord> found;
  for (auto entry = m_by_subject.lower_bound({subject, 0});
       entry != m_by_subject.end() && entry->first == subject; ++entry) {
    found.push_back(At(entry->second));
  }
  return found;
}

std::vector<DecisionRecord> DecisionLog::Latest(std::size_t most) const {
  const std::lock_guard lock(m_mutex);
  const std::size_t count = std::min(most, m_records.size());
  return {m_records.end() - static_cast<std::ptrdiff_t>(count), m_records.end()};
}

std::size_t DecisionLog::size() const {
  const std::lock_guard lock(m_mutex);
  return m_records.size();
}

std::size_t DecisionLog::bytes() const {
  const std::lock_guard lock(m_mutex);
  return m_bytes;
}

}  // namespace zinnia
