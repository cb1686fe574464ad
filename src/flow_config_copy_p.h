// Transfers the operator's configuration between entries when the table cannot supply it. Contains decisions only and
// does no I/O.
//
// Load pattern: a large configuration, narrow links, and many entries that lack the newest version at once. A copy is
// fetched in pieces from one peer at a time, and received pieces are retained, so that it completes on any link. An
// entry serves a few peers at a time; the refused ones ask other peers, so each served entry can serve others.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "flow_types.h"
#include "flow_types_p.h"

namespace skylarkhub {

// Returns the XXH64 hash by which a copied configuration text is verified.
std::int64_t config_checksum(const std::string& text);

// The partly received text of one configuration version.
class config_copy {
public:
    enum class result : std::uint8_t {
        more,    // request the next piece
        whole,   // text() is complete
        refused, // the piece is empty or does not continue the text: ask another peer
        damaged  // the text is complete but its checksum differs: the copy was cleared
    };
    // Appends a piece. A piece at offset 0 of another version starts a new copy.
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

// Chooses the peer to request pieces from: the current one while it supplies pieces, then the one with the fewest
// failed requests.
class config_sources {
public:
    struct source {
        entry_id entry;
        settings_version version;
        bool near = false; // in the data centre of this entry
    };
    // Considers only the candidates with the highest version. Returns nothing if there is no candidate.
    std::optional<entry_id> pick(const entry_id& self, const std::vector<source>& candidates) const;
    void served(const entry_id& by) { current_ = by; }
    void not_served(const entry_id& by);
    void clear();

private:
    std::optional<entry_id> current_;
    std::map<entry_id, int> failed_requests_; // number of failed requests by peer
};

// Limits the number of peers that this entry sends pieces to at the same time.
class config_reader_slots {
public:
    // Returns whether `entry` may receive a piece now. An admitted entry occupies a slot until config_reader_retention
    // after its last request.
    bool admit(instant now, const entry_id& entry);

private:
    // Time of the last request by admitted entry.
    std::map<entry_id, instant> asked_;
};

// Builds the piece that answers `ask` from `text`, the configuration in force at this entry.
wire::flow_config_piece make_config_piece(const wire::flow_config_ask& ask, settings_version version,
                                          const std::string& text, std::int64_t checksum);

} // namespace skylarkhub
