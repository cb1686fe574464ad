// Copies of the configuration between entries, for when the table does not give it: decisions alone, no network.
//
// Load pattern: a large configuration, narrow links, and many entries that are behind at once, each of which any peer
// could serve. A copy comes in pieces from one peer at a time and keeps what has arrived, so that it ends however
// narrow the link is; an entry hands pieces to a few at a time and refers the others to its peers, so that each that is
// served can serve others.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "flow_types.h"
#include "flow_types_p.h"

namespace skylarkhub {

std::int64_t config_checksum(const std::string& text);

// What has arrived of one version.
class config_copy {
public:
    enum class result : std::uint8_t {
        more,    // go on with the next piece
        whole,   // text() is all of it
        refused, // nothing came, or nothing that continues what is here: try another peer
        damaged  // all has come and is not what was sent; begun anew
    };
    result take(const wire::flow_config_piece& piece);

    settings_version version() const { return version_; }
    std::int64_t offset() const { return static_cast<std::int64_t>(text_.size()); }
    const std::string& text() const { return text_; }
    void clear();

private:
    void begin(const wire::flow_config_piece& piece);

    settings_version version_;
    std::int64_t size_ = 0;
    std::int64_t checksum_ = 0;
    std::string text_;
};

// Which peer to ask: the one that answers with pieces, as long as it does; then the one asked least often.
class config_sources {
public:
    struct source {
        entry_id entry;
        settings_version version;
        bool near = false; // in the same data centre
    };
    // Of `heard`, those with the highest version count. Empty when there is none.
    std::optional<entry_id> pick(const entry_id& self, const std::vector<source>& heard) const;
    void served(const entry_id& by) { current_ = by; }
    void not_served(const entry_id& by);
    void clear();

private:
    std::optional<entry_id> current_;
    std::map<entry_id, int> in_vain_; // times asked
};

// Whom this entry hands pieces to.
class config_readers {
public:
    // Whether `entry` may have a piece now; it then holds a place for a while.
    bool admit(instant now, const entry_id& entry);

private:
    std::map<entry_id, instant> asked_;
};

// The piece that answers `ask`, of the text in force here.
wire::flow_config_piece make_config_piece(const wire::flow_config_ask& ask, settings_version version,
                                          const std::string& text, std::int64_t checksum);

} // namespace skylarkhub
