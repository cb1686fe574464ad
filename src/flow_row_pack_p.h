// Rows of jobs with many tasks, packed so that they fit into a row of the table.
//
// In the plain form each start of a task takes the name of its worker and some 20 bytes more, so that the starts of a
// few thousand tasks are larger than a row may be. In the packed form it takes a bit or two for each doubling of the
// number of workers and of different run numbers.
#pragma once

#include <cstddef>
#include <string>

#include "flow_types.h"

namespace skylarkhub {

// Encodes the row in the plain form if that takes at most half of `bytes_most`, which leaves a job room to grow before
// it changes its form. Otherwise packs it, as far as necessary, and at last leaves out checkpoints: a task without one
// only does work again. What remains may still be larger than `bytes_most`.
std::string encode_job_row(const wire::flow_job_row& row, std::size_t bytes_most);

// Turns the packed fields into the plain ones. False if they contradict each other.
bool unpack_job_row(wire::flow_job_row& row);

} // namespace skylarkhub
