#include "settings_merge_p.h"

#include "config.h"

namespace skylarkhub::detail {

namespace {

constexpr double objective_default = 0.99;
constexpr int slots_default = 8;
constexpr int connections_default = 60;

settings::subtree make_built_in()
{
    settings::subtree tree;
    tree.mutable_service_default()->set_availability_objective(objective_default);
    tree.mutable_service_default()->set_slots(slots_default);
    tree.mutable_service_default()->set_connections(connections_default);
    tree.mutable_quota()->set_cpu_millis(0);
    tree.mutable_quota()->set_memory_mib(0);
    tree.mutable_quota()->set_accelerators(0);
    tree.mutable_quota()->set_share(1);
    tree.mutable_quota()->set_queued_jobs(0);
    tree.mutable_requests()->set_queue_length(config::queue_length_default);
    tree.mutable_requests()->set_body_bytes(config::body_bytes_most);
    tree.mutable_requests()->set_retry_share(config::retry_share_default);
    tree.mutable_requests()->set_hedge_share(config::hedge_share_default);
    return tree;
}

settings::work_kind make_built_in_kind()
{
    settings::work_kind kind;
    kind.set_latency_critical(false);
    kind.set_idempotent(false);
    kind.set_exclusive(true);
    kind.set_billed(false);
    kind.set_latency_target_ms(0);
    kind.set_deadline_ms(0);
    return kind;
}

} // namespace

const settings::subtree& built_in_settings()
{
    static const settings::subtree tree = make_built_in();
    return tree;
}

const settings::work_kind& built_in_kind()
{
    static const settings::work_kind kind = make_built_in_kind();
    return kind;
}

settings::work_kind merge_kind(const settings_levels& levels, const std::string& name)
{
    settings::work_kind kind = built_in_kind();
    for (const settings::subtree* level : levels) {
        const auto found = level->kinds().find(name);
        if (found != level->kinds().end()) {
            kind.MergeFrom(found->second);
        }
    }
    return kind;
}

settings::service_class merge_service(const settings_levels& levels, const std::string& name)
{
    settings::service_class service = built_in_settings().service_default();
    for (const settings::subtree* level : levels) {
        service.MergeFrom(level->service_default());
    }
    for (const settings::subtree* level : levels) {
        const auto found = level->services().find(name);
        if (found != level->services().end()) {
            service.MergeFrom(found->second);
        }
    }
    return service;
}

settings::team_quota merge_quota(const settings_levels& levels)
{
    settings::team_quota quota = built_in_settings().quota();
    for (const settings::subtree* level : levels) {
        quota.MergeFrom(level->quota());
    }
    return quota;
}

settings::request_limits merge_requests(const settings_levels& levels)
{
    settings::request_limits requests = built_in_settings().requests();
    for (const settings::subtree* level : levels) {
        requests.MergeFrom(level->requests());
    }
    return requests;
}

} // namespace skylarkhub::detail
