#pragma once

#include <boost/beast/http/fields.hpp>

namespace zinnia {

/** Removes the hop-by-hop fields (RFC 9110 7.6.1), among them those that Connection names. Passed
    on, they would make one side keep open, upgrade or frame a connection of the other. */
void RemoveHopByHopFields(boost::beast::http::fields& fields);

}  // namespace zinnia
