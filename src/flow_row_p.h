// Flow specifications to table rows and back.
#pragma once

#include <string>

#include "flow_types.h"
#include "flow_types_p.h"

namespace skylarkhub {

// Tables and parts in the platform's store that belong to flows.
inline constexpr const char* jobs_table = "flow-jobs";
inline constexpr const char* cells_table = "flow-cells";
inline constexpr const char* entries_table = "flow-entries";
inline constexpr const char* layouts_table = "flow-layouts";
inline constexpr const char* shared_part = "site"; // of cells, entries and layouts: few rows, read whole

// In flow_worker_room::serving: serving tasks of more than one image.
inline constexpr const char* several_images = "*";

// The store applies the transactions of one part one after another, 150 a second on today's platforms; jobs are spread
// over as many parts as keep the busiest one below half of that at 40 accepted jobs and 200 ended steps a second.
inline constexpr int job_parts = 8;

std::string job_part(const job_id& job);
std::string job_part(int number);
// A task as logs name it.
std::string text_of(const flow_task_id& task);

// For logs.
const char* name_of(flow_state state);
const char* name_of(run_end how);
const char* name_of(order_result result);

// A row of the jobs table: whose job it tells of, and by whom it is written.
struct job_row_name {
    job_id job;
    std::string
        writer; // empty: the job's own row, which the owner of its cell writes; else a cell or a row inserted once

    friend auto operator<=>(const job_row_name&,
                            const job_row_name&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
};
store_key job_key(const job_id& job);
store_key job_row_key(const job_row_name& name);
job_row_name job_row_of(const store_key& key);
// The row that says that the job is cancelled.
job_row_name cancel_row(const job_id& job);
// The row of ends that an entry has heard of after it was followed, and its follower may not.
job_row_name left_ends_row(const job_id& job, const incarnation_id& entry);
// All rows of the job, its own first.
store_range job_rows(const job_id& job);
store_key cell_key(const cell_id& cell);
store_key entry_key(const entry_id& entry);
store_key layout_key(const data_centre_id& data_centre);
// The range that holds this one row and no other.
store_range only_row(store_key key);

wire::flow_step_row to_row(const flow_step& step);
flow_step from_row(const wire::flow_step_row& row);

// What the caller asked for, in a row without facts.
wire::flow_job_row make_job_row(const flow_spec& spec);
flow_spec spec_of(const wire::flow_job_row& row);

flow_state state_of(const wire::flow_job_row& row);

} // namespace skylarkhub
