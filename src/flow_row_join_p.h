// Rows of recurring jobs of which many occurrences are told: the stages of all occurrences as one for each step.
//
// A stage of its own takes some 30 bytes beside what it tells, and nothing in it can be packed as long as it tells of a
// task or two. Joined, the tasks of all occurrences of a step are numbered one after the other, so that
// flow_row_pack_p.h packs them as those of one large step.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "flow_occurrences_p.h"
#include "flow_types.h"

namespace skylarkhub {

inline bool is_joined(const wire::flow_job_row& row)
{
    return !row.joined.empty();
}

// The stages that tell of the job: the joined ones, or those of each occurrence.
inline std::vector<wire::flow_stage_row>& told_stages(wire::flow_job_row& row)
{
    return is_joined(row) ? row.joined_stages : row.stages;
}

class stage_joiner {
public:
    // `tasks_of_steps`: the number of tasks of each step in one occurrence, those that the stages tell of at least.
    explicit stage_joiner(const std::vector<std::int32_t>& tasks_of_steps);
    // Adds a stage, in ascending order of the occurrences.
    void add(const wire::flow_stage_row& stage);
    // Replaces the stages of the row by what was added. Earlier releases, which would take tasks that are done, or that
    // another cell has, for new ones, then refuse the row.
    void move_into(wire::flow_job_row& row);

private:
    std::vector<wire::flow_stage_row> stages_; // by step
    occurrence_set occurrences_;
    std::int32_t last_ = -1;
};

// Joins the stages of a row that tells of several occurrences, if it is not joined yet. The row may lack the job's
// specification.
void join_occurrences(wire::flow_job_row& row);

// Whether the joined stages, once unpacked, tell of no more tasks than the joined occurrences have.
bool is_joined_well(const wire::flow_job_row& row);

// Calls `use` with each stage of each occurrence that the row tells of.
void for_each_stage(const wire::flow_job_row& row, const std::function<void(const wire::flow_stage_row&)>& use);

} // namespace skylarkhub
