// Rows that store flows in the table: their tables, keys and ranges, and conversion between flow types and rows.
#pragma once

#include <string>
#include <vector>

#include "flow_occurrences_p.h"
#include "flow_types.h"
#include "flow_types_p.h"

namespace skylarkhub {

// Tables and parts of the platform's table store that flows use. News are rows that others write for the owner of a
// cell: an accepted or cancelled job, changes made by the owners of other cells, and late ends of runs.
inline constexpr const char* jobs_table = "flow-cell-jobs";   // state of a job, written by the owner of a cell
inline constexpr const char* news_table = "flow-news";        // news of a job for the owner of a cell
inline constexpr const char* index_table = "flow-index";      // state of a job that API callers request
inline constexpr const char* legacy_jobs_table = "flow-jobs"; // of earlier releases, with a single row per job
inline constexpr const char* cells_table = "flow-cells";
inline constexpr const char* entries_table = "flow-entries";
inline constexpr const char* layouts_table = "flow-layouts";
// Part of the cells, entries and layouts tables, which have few rows and are always read as a whole.
inline constexpr const char* shared_part = "site";

// Value of flow_worker_room::serving where a worker has serving tasks of more than one image.
inline constexpr const char* several_images = "*";

// Number of parts that jobs are distributed over. The store serialises the transactions of one part, at most about 150
// a second; 8 parts keep the busiest one below half of that at 40 accepted jobs and 200 ended steps a second.
inline constexpr int job_parts = 8;

// The part that stores the rows of a job, chosen by a hash of its id.
std::string job_part(const job_id& job);
std::string job_part(int number);
// JOB.OCCURRENCE.STEP.INDEX, for logs.
std::string text_of(const flow_task_id& task);

std::vector<store_key> keys_of(const std::vector<store_row>& rows);

// Calls `use` with the home (the cell that is responsible for a task) of every task that was moved to a cell.
template <class Use> void for_each_task_home(const wire::flow_job_row& row, Use&& use)
{
    for (const auto* stages : {&row.stages, &row.joined_stages}) {
        for (const wire::flow_stage_row& stage : *stages) {
            for (const auto& [task, home] : stage.homes) {
                use(home);
            }
        }
    }
}

std::vector<wire::flow_occurrence_span> to_rows(const occurrence_set& occurrences);

// Names of enum values, for logs.
const char* name_of(flow_state state);
const char* name_of(run_end how);
const char* name_of(order_result result);

// Who wrote a row of a job: the owner of the cell that reads it, the owner of another cell, or an entry (a process that
// accepts requests and may own cells).
enum class row_writer_kind : std::uint8_t { own, other_cell, entry };

// Identifies a row about a job for the owner of `cell`. `writer` is the cell whose owner writes the row, or one of the
// reserved names with a leading '!' (accepted, cancelled, late ends of runs).
struct job_row_name {
    cell_id cell;
    job_id job;
    std::string writer;

    bool is_own() const { return writer == cell.str(); }
    row_writer_kind writer_kind() const;
    friend auto operator<=>(const job_row_name&,
                            const job_row_name&) = default; // NOLINT(modernize-use-nullptr): wrong in clang-tidy 14
};
// Whether `writer` is a cell rather than a reserved name.
bool is_cell(const std::string& writer);
// The row of the owner of `cell` itself.
job_row_name own_row(const cell_id& cell, const job_id& job);
// The row with which an entry hands an accepted job to the owner of the job's cell.
job_row_name accepted_row(const cell_id& cell, const job_id& job);
// The row that cancels the job.
job_row_name cancel_row(const cell_id& cell, const job_id& job);
// Ends of runs that an entry received after another owner had replaced it, and that the new owner may lack.
job_row_name late_ends_row(const cell_id& cell, const job_id& job, const incarnation_id& entry);
store_key job_row_key(const job_row_name& name);
job_row_name parse_job_row_key(const store_key& key);
// All rows of one cell in one part of `table` (jobs_table or news_table).
store_range cell_rows(const char* table, const cell_id& cell, const std::string& part);
// All news of one job for the owner of one cell.
store_range news_rows(const cell_id& cell, const job_id& job);
// The row that holds the epoch of the cell's owner; its transactions check it, so that a replaced owner cannot write.
store_key fence_key(const cell_id& cell, const std::string& part);
bool is_fence(const store_key& key);
// The index of a job: one row with its state for callers, and a second row that exists once the job is cancelled.
store_key index_key(const job_id& job);
store_key index_cancel_key(const job_id& job);
store_range index_rows(const job_id& job);
// A row that keeps writes from accepting the job, if they were sent before its version: of a request that was refused,
// or for good of a cancel that found no such job. Not among the index rows, whose presence says that the job was
// accepted.
store_key withdrawn_key(const job_id& job);
store_key cell_key(const cell_id& cell);
store_key entry_key(const entry_id& entry);
store_key layout_key(const data_centre_id& data_centre);
// A range that contains this one row only.
store_range single_row_range(store_key key);

wire::flow_step_row to_row(const flow_step& step);
flow_step from_row(const wire::flow_step_row& row);

// A row with the specification and no progress of tasks.
wire::flow_job_row make_job_row(const flow_spec& spec);
// The row without payload and steps, for readers that already have the specification.
wire::flow_job_row without_spec(wire::flow_job_row row);
flow_spec spec_of(const wire::flow_job_row& row);

flow_state state_of(const wire::flow_job_row& row);

} // namespace skylarkhub
