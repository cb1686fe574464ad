// How work is accepted: one transaction that binds each task of a job to one cell and makes the caller's operation key
// answer the same way ever after. Pure.
#pragma once

#include <string>
#include <vector>

#include "job_row_p.h"
#include "peer_types.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

// What is known of a cell when work is to be bound to it; figures may be seconds old, only a hint.
struct cell_room {
    cell_id cell;
    data_centre_id data_centre;
    resources largest_worker;
    resources total;
    resources free;
    std::int64_t queued = 0;
    bool evacuated = false; // its data centre: no work is bound to it
};

// One error of a caller's input: which field and why.
struct field_error {
    std::string field;
    std::string reason;
};

// Checks the parts of a spec that need no other knowledge; kinds and quotas are the settings' concern.
std::vector<field_error> check_job_spec(const job_spec& spec);

// The same team and operation key always give the same id, so that any entry finds what another one accepted.
// Written "TEAM.HASH".
job_id derive_job_id(const team_id& team, const operation_id& key);

// The team part of an id; invalid when the text is not a job id.
team_id team_of_job(const job_id& job);

std::string fingerprint_spec(const wire::job_spec_row& spec);

struct cell_part {
    cell_id cell;
    std::int32_t first_task = 0;
    std::int32_t task_total = 0;
};

// Splits the tasks over cells: services over data centres first, so that the loss of one takes the fewest; batch tasks
// by free room, few parts for few tasks. Empty when no cell has a worker large enough, with the error naming the
// dimension; and, without an error, when all data centres are evacuated. `pick` decides among equals and spreads small
// jobs.
std::vector<cell_part> split_job(const job_spec& spec, std::vector<cell_room> rooms, std::uint64_t pick,
                                 std::vector<field_error>* errors);

// The transaction that accepts the job: its index row must be absent.
table_transaction accept_job(const job_id& job, const job_spec& spec, const std::vector<cell_part>& parts,
                             wall_time now);

// The transaction that leaves a cancel or a resume for every owner; `version` is that of the index row as read.
// Harmless when repeated.
table_transaction instruct_cells(const wire::job_index_row& index, row_version version, const operation_id& key,
                                 bool cancel);

} // namespace skylarkhub
