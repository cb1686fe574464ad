// Operators' calls about work: accept, list, show, cancel and resume jobs, and standing work. Every change is durable
// in the table before it is answered, and repeating it under the same key changes nothing more.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon_api_p.h"
#include "daemon_cells_p.h"
#include "daemon_gather_p.h"
#include "daemon_settings_p.h"
#include "daemon_standing_p.h"
#include "platform_client_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

struct job_edges {
    platform_client& platform;
    cell_registry& cells;
    settings_keeper& settings;
    standing_runner& standing;
    data_centre_id own;
    std::function<void(const cell_id&)> hint; // tell the cell's owner that its inbox has something new
    std::function<void(const std::string& what, std::function<void(std::vector<gathered_part>)>)> gather;
};

class job_api {
public:
    explicit job_api(job_edges edges) : edges_(std::move(edges)) {}

    std::vector<api_route> routes();

    // Parts of jobs in the cells that this entry owns, for another entry that gathers: "jobs/TEAM" or "job/ID".
    std::string own_parts(const std::string& what) const;

private:
    void submit(const http_request& request, const http_reply& reply);
    void list(const http_request& request, http_reply reply);
    void show(const job_id& job, http_reply reply);
    void read_parts(const job_id& job, const std::map<std::string, std::int32_t>& running, const http_reply& reply);
    struct instruction {
        job_id job;
        operation_id key;
        bool cancel = false;
    };
    void leave_instruction(const instruction& wanted, int tries, const http_reply& reply);
    void end_instruction(const instruction& wanted, const std::vector<std::string>& cells, const table_result& result,
                         const http_reply& reply);
    void instruct(const job_id& job, const http_request& request, bool cancel, const http_reply& reply);
    void put_standing(const team_id& team, const std::string& name, const http_request& request,
                      const http_reply& reply);
    void stop_standing(const team_id& team, const std::string& name, const http_request& request,
                       const http_reply& reply);
    void list_standing(const http_request& request, const http_reply& reply) const;
    bool authorise(const team_id& team, const http_request& request, const http_reply& reply) const;
    bool check_kind(const job_spec& spec, const std::string& path, const http_reply& reply) const;

    const job_edges edges_;
};

} // namespace skylarkhub
