#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>

#include "zinnia_world/names/names.h"
#include "zinnia_world/requests/request_class.h"

namespace zinnia {

/** Totals of the answered requests of one organisation and request class. */
struct Credit {
  std::uint64_t requests = 0;
  double weight = 0.0;
};

/** Counts each answered request once, per organisation and request class.

    Recovered and resumed answers may be reported several times, so duplicates are detected by
    request id among the most recent ids. Organisations beyond the row limit share the row "other".
*/
class CreditLedger {
 public:
  using Rows = std::map<std::pair<OrganisationName, RequestClass>, Credit>;

  explicit CreditLedger(std::size_t remembered_requests = 65'536, std::size_t max_rows = 2'048)
      : m_max_remembered_requests(remembered_requests), m_max_rows(max_rows) {}

  /** Returns false without any effect if the request was already credited. */
  bool CreditOnce(const std::string& request_id,
                  const OrganisationName& organisation,
                  RequestClass request_class,
                  double weight);

  const Rows& AllRows() const { return m_rows; }

 private:
  bool RememberIfNew(const std::string& request_id);

  const std::size_t m_max_remembered_requests;
  const std::size_t m_max_rows;
  Rows m_rows;
  std::unordered_set<std::string> m_credited;
  std::deque<std::string> m_credited_in_order;
};

}  // namespace zinnia
