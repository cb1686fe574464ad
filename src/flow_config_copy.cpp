#include "flow_config_copy_p.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

#include "flow_limits_p.h"

namespace skylarkhub {

using namespace flow_limits;

std::int64_t config_checksum(const std::string& text)
{
    return static_cast<std::int64_t>(XXH64(text.data(), text.size(), 0));
}

config_copy::result config_copy::take(const wire::flow_config_piece& piece)
{
    if (piece.bytes.empty()) {
        return result::refused;
    }
    const bool same = settings_version(piece.version) == version_ && piece.size == size_ && piece.checksum == checksum_;
    if (!same && piece.offset == 0) {
        begin(piece);
    }
    else if (!same || piece.offset != offset()) {
        return result::refused;
    }
    text_ += piece.bytes;
    if (offset() < size_) {
        return result::more;
    }
    if (config_checksum(text_) == checksum_) {
        return result::whole;
    }
    clear();
    return result::damaged;
}

void config_copy::begin(const wire::flow_config_piece& piece)
{
    version_ = settings_version(piece.version);
    size_ = piece.size;
    checksum_ = piece.checksum;
    text_.clear();
}

void config_copy::clear()
{
    *this = {};
}

std::optional<entry_id> config_sources::pick(const entry_id& self, const std::vector<source>& candidates) const
{
    settings_version newest;
    for (const source& s : candidates) {
        newest = std::max(newest, s.version);
    }
    // The hash makes entries that lack the version at the same time ask different peers first.
    const auto order = [&](const source& s) {
        const auto at = failed_requests_.find(s.entry);
        const std::string pair = self.str() + "/" + s.entry.str();
        return std::make_tuple(at == failed_requests_.end() ? 0 : at->second, !s.near,
                               XXH64(pair.data(), pair.size(), 0));
    };
    const source* best = nullptr;
    for (const source& s : candidates) {
        if (s.version != newest) {
            continue;
        }
        if (current_ == s.entry) {
            return s.entry;
        }
        best = best == nullptr || order(s) < order(*best) ? &s : best;
    }
    return best == nullptr ? std::nullopt : std::optional(best->entry);
}

void config_sources::not_served(const entry_id& by)
{
    ++failed_requests_[by];
    current_.reset();
}

void config_sources::clear()
{
    *this = {};
}

bool config_reader_slots::admit(instant now, const entry_id& entry)
{
    std::erase_if(asked_, [&](const auto& reader) { return now - reader.second > config_reader_retention; });
    if (asked_.count(entry) == 0 && asked_.size() >= max_config_readers) {
        return false;
    }
    asked_[entry] = now;
    return true;
}

wire::flow_config_piece make_config_piece(const wire::flow_config_ask& ask, settings_version version,
                                          const std::string& text, std::int64_t checksum)
{
    wire::flow_config_piece piece;
    piece.version = version.value();
    piece.size = static_cast<std::int64_t>(text.size());
    piece.checksum = checksum;
    const bool goes_on = ask.version == piece.version && ask.offset > 0 && ask.offset < piece.size;
    piece.offset = goes_on ? ask.offset : 0;
    piece.bytes = text.substr(static_cast<std::size_t>(piece.offset), config_piece_bytes);
    return piece;
}

} // namespace skylarkhub
