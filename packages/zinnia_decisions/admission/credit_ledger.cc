#include "zinnia_decisions/admission/credit_ledger.h"

namespace zinnia {
namespace {

constexpr auto kOtherOrganisations = "other";

}  // namespace

bool CreditLedger::CreditOnce(const std::string& request_id,
                              const OrganisationName& organisation,
                              RequestClass request_class,
                              double weight) {
  if (!RememberIfNew(request_id)) {
    return false;
  }
  auto row = m_rows.find({organisation, request_class});
  if (row == m_rows.end()) {
    const bool full = m_rows.size() >= m_max_rows;
    row = m_rows.try_emplace({full ? kOtherOrganisations : organisation, request_class}).first;
  }
  ++row->second.requests;
  row->second.weight += weight;
  return true;
}

bool CreditLedger::RememberIfNew(const std::string& request_id) {
  if (!m_credited.insert(request_id).second) {
    return false;
  }
  m_credited_in_order.push_back(request_id);
  if (m_credited_in_order.size() > m_max_remembered_requests) {
    m_credited.erase(m_credited_in_order.front());
    m_credited_in_order.pop_front();
  }
  return true;
}

}  // namespace zinnia
