// Whether tasks may be started in a data centre, which the operator may evacuate.
#pragma once

#include <cstdint>

namespace skylarkhub {

enum class start_permission : std::uint8_t {
    allowed,
    evacuated,
    not_known, // the entry knows nothing of evacuations or workers, or what it knows is too old
};

} // namespace skylarkhub
