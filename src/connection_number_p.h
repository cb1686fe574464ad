// The number of a connection, by which orders to workers are kept from connections that were opened too late.
#pragma once

#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// A connection that an HTTP client has opened; those that it opens later have higher numbers.
using connection_number = detail::counter<struct connection_tag>;

} // namespace skylarkhub
