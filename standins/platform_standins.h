#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "standin.h"

namespace zinnia::standins {

/** A plain service with a bookings ledger: shows whether a call that may not be repeated was run
    twice. Other paths answer with what was sent, so that a mixed-up answer shows. */
std::unique_ptr<Standin> MakePlainService();

/** The platform's key-value service: compare-and-swap, leases, watches as long polls. Leases go on
    running out during an outage, which is the hardest case for their holders. */
std::unique_ptr<Standin> MakeStore(boost::asio::io_context& context);

/** The platform's list of instances and backend servers. A list set through `/control` is served
    only after `list_lag_ms`, the first one at once. */
std::unique_ptr<Standin> MakeInstanceList(boost::asio::io_context& context, std::string first_list);

/** The rate-limited weight store: transfers share one rate and run one after another. */
std::unique_ptr<Standin> MakeWeightStore(boost::asio::io_context& context,
                                         std::uint64_t bytes_per_second,
                                         std::uint64_t bytes_per_layer);

}  // namespace zinnia::standins
