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

// All calls return at once; callbacks run once each on another thread and must not block. Destruction answers whoever
// still waits, on the thread that destroys.
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

    // One try. An unknown outcome stays unknown; the caller reads back. Refused at once, and not sent, while the table
    // is down or the budget is spent; stats().retry_after says when to come back.
    void commit(table_traffic traffic, table_transaction transaction, std::function<void(table_result)> done);

    // Tries until the outcome is certain or `deadline` is over: reads back by operation id after a lost answer, and
    // moves a checked row by a tombstone before it says conflict or refused (see platform_settle_p.h). Unknown when the
    // table stayed unreachable, or when others have since written over every row that could tell.
    // The transaction must check and write at least one row; the first such row must be one that nobody removes
    // meanwhile. One that cannot be sent yet because the table is down is refused at once.
    // Applied after a lost answer names the versions only of rows that nobody has written over since.
    void commit_settled(table_traffic traffic, table_transaction transaction, duration deadline,
                        std::function<void(table_result)> done);

    // Empty, and `complete` false, when the table could not be read or the call was refused as above. An absent row has
    // no value; its version is 0, or higher where a tombstone holds its place. A check of the version read, or of 0,
    // passes either way.
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
        std::int64_t settled_by_reading = 0; // settled commits that had to read back
        std::int64_t barred = 0;             // of these, those that never took effect and were kept from it
        bool breaker_open = false;
        duration retry_after{0}; // until work may be sent again; 0 when it may now
    };
    stats read_stats() const;

private:
    struct engine;
    std::shared_ptr<engine> engine_;
};

} // namespace skylarkhub
