#include <redwingwind/coordination/ticket.hpp>

#include <redwingwind/common/error.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <optional>
#include <vector>

namespace redwingwind::coordination {
namespace {

constexpr std::size_t max_ticket_characters = 256;
constexpr std::size_t fields_after_home = 4;
/// A used ticket is kept for this time after it expires, so that a retry of a
/// request dispatched just before the expiry still finds it.
constexpr auto retention_after_expiry = std::chrono::seconds(30);

std::optional<std::uint64_t> parse_number(const std::string& text) {
    std::uint64_t n = 0;
    if (!absl::SimpleHexAtoi(text, &n))
        return std::nullopt;
    return n;
}

std::string signed_part(const ticket& t) {
    return absl::StrCat(t.home.name.value, "~", absl::Hex(t.home.life.value),
                        "~", absl::Hex(t.sequence), "~",
                        absl::Hex(t.expires_us));
}

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::size_t from = 0;
    for (std::size_t n = 0; n < fields_after_home + 1; ++n) {
        const auto end = text.find('~', from);
        parts.push_back(text.substr(from, end - from));
        if (end == std::string::npos)
            break;
        from = end + 1;
    }
    return parts;
}

} // namespace

std::string to_text(const ticket& t, const keyring& keys) {
    const auto part = signed_part(t);
    return part + "~" + keys.sign("ticket/" + part);
}

absl::StatusOr<ticket> parse_ticket(const std::string& text,
                                    const keyring& keys) {
    const auto forged = make_error(error_code::ticket_forged,
                                   "not a ticket of this deployment");
    if (text.size() > max_ticket_characters)
        return forged;
    const auto parts = split(text);
    if (parts.size() != fields_after_home + 1)
        return forged;
    const auto life = parse_number(parts[1]);
    const auto sequence = parse_number(parts[2]);
    const auto expires = parse_number(parts[3]);
    if (!life || !sequence || !expires)
        return forged;
    ticket t{{{parts[0]}, {*life}}, *sequence, *expires};
    const auto part = signed_part(t);
    if (text.substr(0, part.size()) != part ||
        !keys.verify("ticket/" + part, parts[4]))
        return forged;
    return t;
}

ticket ticket_table::mint(time_point now) {
    const auto expires = now + options_.lifetime;
    return {self_, next_sequence_++,
            static_cast<std::uint64_t>(expires.time_since_epoch().count())};
}

bool ticket_table::is_expired(const ticket& t, time_point now) {
    // remove_expired() passes a time in the past, which is before the epoch of
    // the monotonic clock on a machine that has just booted: nothing has
    // expired then. Converted to unsigned, it would be after every expiry.
    const auto now_us = now.time_since_epoch().count();
    return now_us >= 0 && static_cast<std::uint64_t>(now_us) >= t.expires_us;
}

bool ticket_table::has_room() const {
    return entries_.size() < options_.max_entries &&
           bytes_ < options_.max_bytes;
}

claim_result ticket_table::claim(time_point now, const ticket& t,
                                 std::uint64_t content_digest) {
    if (t.home != self_)
        return claim_result::other_home;
    const auto it = entries_.find(t.sequence);
    if (it == entries_.end()) {
        if (is_expired(t, now))
            return claim_result::expired;
        if (!has_room())
            return claim_result::full;
        entries_.emplace(
            t.sequence,
            entry{state::executing, content_digest, t.expires_us, {}});
        by_age_.push_back(t.sequence);
        return claim_result::dispatch;
    }
    auto& known = it->second;
    if (known.status == state::cancelled)
        return claim_result::cancelled;
    if (known.content_digest != content_digest)
        return claim_result::reused;
    switch (known.status) {
    case state::executing:
        return claim_result::wait;
    case state::completed:
        return claim_result::completed;
    case state::freed:
        if (is_expired(t, now))
            return claim_result::expired;
        known.status = state::executing;
        return claim_result::dispatch;
    case state::cancelled:
        break;
    }
    return claim_result::cancelled;
}

void ticket_table::complete(const ticket& t, stored_response response) {
    const auto it = entries_.find(t.sequence);
    if (it == entries_.end() || it->second.status != state::executing)
        return;
    if (response.what == outcome::not_run) {
        it->second.status = state::freed;
        return;
    }
    bytes_ += response.body.size();
    it->second.status = state::completed;
    it->second.response = std::move(response);
}

const stored_response* ticket_table::response(const ticket& t) const {
    const auto it = entries_.find(t.sequence);
    if (it == entries_.end() || it->second.status != state::completed)
        return nullptr;
    return &it->second.response;
}

bool ticket_table::cancel(time_point now, const ticket& t) {
    if (t.home != self_)
        return false;
    const auto it = entries_.find(t.sequence);
    if (it == entries_.end()) {
        // An expired ticket may have been used and its entry removed.
        if (is_expired(t, now) || !has_room())
            return false;
        entries_.emplace(t.sequence,
                         entry{state::cancelled, 0, t.expires_us, {}});
        by_age_.push_back(t.sequence);
        return true;
    }
    if (it->second.status == state::freed)
        it->second.status = state::cancelled;
    return it->second.status == state::cancelled;
}

void ticket_table::remove_expired(time_point now) {
    while (!by_age_.empty()) {
        const auto it = entries_.find(by_age_.front());
        const ticket t{self_, it->first, it->second.expires_us};
        if (it->second.status == state::executing ||
            !is_expired(t, now - retention_after_expiry))
            return;
        bytes_ -= it->second.response.body.size();
        entries_.erase(it);
        by_age_.pop_front();
    }
}

} // namespace redwingwind::coordination
