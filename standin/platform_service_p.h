// The stand-in for the platform behind its HTTP interface (docs/PROTOCOLS.md), within one process.
#pragma once

#include <memory>
#include <string>

#include "http_server_p.h"
#include "platform_state_p.h"
#include "skylarkhub/skylarkhub.h"

namespace skylarkhub::standin {

class platform_service {
public:
    struct options {
        net_address address{"127.0.0.1:0"};
        duration list_lag{0};
    };

    // Empty when the address cannot be bound, with the reason in `last_reason`.
    static std::unique_ptr<platform_service> start(const options& o, std::string* last_reason);

    ~platform_service();
    platform_service(const platform_service&) = delete;
    platform_service& operator=(const platform_service&) = delete;

    net_address address() const;

    // As POST /v1/switches and GET /v1/counters do.
    void change_switches(const platform_switches& switches);
    platform_counters read_counters() const;

private:
    struct engine;
    explicit platform_service(std::unique_ptr<engine> e);
    std::unique_ptr<engine> engine_;
};

} // namespace skylarkhub::standin
