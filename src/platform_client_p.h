// The platform as an entry meets it: table, object store and instance list, over HTTP (docs/PROTOCOLS.md).
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http_client_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub {

enum class instance_role : std::uint8_t { worker, entry, target };

// One line of the platform's instance list, as old as the list's lag.
struct listed_instance {
    std::string id;
    instance_role role = instance_role::worker;
    data_centre_id data_centre;
    rack_id rack;
    net_address address;
    net_address peer_address; // entries only
    bool leaving = false;
    service_id service; // targets only
    std::int32_t slots = 0;
    std::int32_t connections = 0;
    resources capacity;
};

// What traffic on the table is for; each kind has its share of the entry's budget, ownership first.
enum class table_traffic : std::uint8_t { ownership, work, settings, background };

// All calls return at once; callbacks run once each on another thread and must not block.
class platform_client {
public:
    struct options {
        net_address address;
        duration timeout{std::chrono::seconds(2)};
        double writes_per_second = 0; // 0: the default of config.h
        double reads_per_second = 0;
    };

    platform_client(http_client& http, options o);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    // One try. An unknown outcome stays unknown; the caller reads back.
    void commit(table_traffic traffic, table_transaction transaction, std::function<void(table_result)> done);

    // Tries until the outcome is certain or `deadline` is over: reads back by operation id after a lost answer, and
    // writes a tombstone over a checked row before it says conflict or refused. Unknown only when the table stayed
    // unreachable.
    void commit_settled(table_traffic traffic, table_transaction transaction, duration deadline,
                        std::function<void(table_result)> done);

    // `result.complete` is false when the table could not be read. An absent row has no value and version 0.
    void read(table_traffic traffic, std::string key, std::function<void(std::optional<table_row>)> done);
    void scan(table_traffic traffic, std::string prefix, std::function<void(table_scan_result)> done);

    // Empty when the list could not be read.
    void list_instances(std::function<void(std::optional<std::vector<listed_instance>>)> done);
    void register_instance(const listed_instance& self, std::function<void(bool)> done);
    void unregister_instance(const std::string& id, std::function<void(bool)> done);

    struct stats {
        std::int64_t commits = 0;
        std::int64_t rows_written = 0;
        std::int64_t reads = 0;
        std::int64_t unknown = 0;
        std::int64_t refused_by_budget = 0;
        std::int64_t refused_by_breaker = 0;
        bool breaker_open = false;
    };
    stats read_stats() const;

private:
    struct engine;
    std::shared_ptr<engine> engine_;
};

} // namespace skylarkhub
