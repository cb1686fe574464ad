// Flow specifications to table rows and back.
#pragma once

#include <string>
#include <vector>

#include "flow_types.h"
#include "flow_types_p.h"

namespace skylarkhub {

// Tables and parts in the platform's store that belong to flows.
inline constexpr const char* jobs_table = "flow-cell-jobs";   // what the owner of a cell knows of a job
inline constexpr const char* news_table = "flow-news";        // what others tell the owner of a cell of a job
inline constexpr const char* index_table = "flow-index";      // what callers ask of a job
inline constexpr const char* legacy_jobs_table = "flow-jobs"; // of releases that kept one row a job
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

std::vector<store_key> keys_of(const std::vector<store_row>& rows);

// Calls `use` with each place that a task of the row was given to.
template <class Use> void for_each_task_home(const wire::flow_job_row& row, Use&& use)
{
    for (const wire::flow_stage_row& stage : row.stages) {
        for (const auto& [task, home] : stage.homes) {
            use(home);
        }
    }
}

// For logs.
const char* name_of(flow_state state);
const char* name_of(run_end how);
const char* name_of(order_result result);

// Who tells the owner of a cell something of a job.
enum class row_writer_kind : std::uint8_t { own, other_cell, entry };

// A row that tells the owner of `cell` something of a job, and who writes it: the owner itself, the owner of another
// cell, or one that is named with a mark.
struct job_row_name {
    cell_id cell;
    job_id job;
    std::string writer;

    bool is_own() const { return writer == cell.str(); }
    row_writer_kind writer_kind() const;
    friend auto operator<=>(const job_row_name&,
                            const job_row_name&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
};
// A writer that is the owner of a cell.
bool is_cell(const std::string& writer);
job_row_name own_row(const cell_id& cell, const job_id& job);
// As the entry has accepted it, for the owner of the cell that it is bound to.
job_row_name accepted_row(const cell_id& cell, const job_id& job);
// That it is cancelled.
job_row_name cancel_row(const cell_id& cell, const job_id& job);
// Ends that an entry has heard of after it was followed, and its follower may not have.
job_row_name late_ends_row(const cell_id& cell, const job_id& job, const incarnation_id& entry);
store_key job_row_key(const job_row_name& name);
job_row_name parse_job_row_key(const store_key& key);
// The rows of jobs, or the news of them, for one cell in one part.
store_range cell_rows(const char* table, const cell_id& cell, const std::string& part);
// The news of one job for one cell.
store_range news_rows(const cell_id& cell, const job_id& job);
store_key fence_key(const cell_id& cell, const std::string& part);
bool is_fence(const store_key& key);
// What callers ask of a job, and beside it whether it was cancelled.
store_key index_key(const job_id& job);
store_key index_cancel_key(const job_id& job);
store_range index_rows(const job_id& job);
store_key cell_key(const cell_id& cell);
store_key entry_key(const entry_id& entry);
store_key layout_key(const data_centre_id& data_centre);
// The range that holds this one row and no other.
store_range single_row_range(store_key key);

wire::flow_step_row to_row(const flow_step& step);
flow_step from_row(const wire::flow_step_row& row);

// What the caller asked for, in a row without facts.
wire::flow_job_row make_job_row(const flow_spec& spec);
// The row without what was asked, for those that know.
wire::flow_job_row without_spec(wire::flow_job_row row);
flow_spec spec_of(const wire::flow_job_row& row);

flow_state state_of(const wire::flow_job_row& row);

} // namespace skylarkhub
