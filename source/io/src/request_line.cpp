#include "request_line.hpp"

#include <algorithm>
#include <utility>

namespace redwingwind::io {

void request_line::add(line_entry entry) {
    bytes_ += entry.bytes;
    // An entry that comes with its answer never runs.
    if (entry.answer && next_ == entries_.size())
        ++next_;
    entries_.push_back(std::move(entry));
}

bool request_line::may_start(std::size_t place, bool is_closing) const {
    if (place == 0)
        return true;
    const auto& first = entries_.front();
    const bool runs_alone = first.is_running && !first.is_idempotent;
    return !is_closing && !runs_alone && entries_[place].is_idempotent;
}

line_entry* request_line::start_next(bool is_closing) {
    while (next_ < entries_.size() && entries_[next_].answer)
        ++next_;
    if (next_ == entries_.size() || !may_start(next_, is_closing))
        return nullptr;
    auto& it = entries_[next_++];
    it.is_running = true;
    ++running_;
    return &it;
}

bool request_line::answer(std::uint64_t sequence, http_response response) {
    const auto it = std::find_if(
        entries_.begin(), entries_.end(), [&](const line_entry& entry) {
            return entry.sequence == sequence && entry.is_running;
        });
    if (it == entries_.end())
        return false;
    it->is_running = false;
    --running_;
    bytes_ -= it->bytes;
    it->bytes = response.body.size();
    bytes_ += it->bytes;
    it->request = {};
    it->answer = std::move(response);
    return true;
}

std::optional<line_entry> request_line::take_answered() {
    if (entries_.empty() || !entries_.front().answer)
        return std::nullopt;
    auto first = std::move(entries_.front());
    entries_.pop_front();
    next_ -= next_ > 0 ? 1 : 0;
    bytes_ -= first.bytes;
    return first;
}

std::vector<std::uint64_t> request_line::drop_all() {
    std::vector<std::uint64_t> running;
    for (const auto& it : entries_)
        if (it.is_running)
            running.push_back(it.sequence);
    entries_.clear();
    next_ = 0;
    running_ = 0;
    bytes_ = 0;
    return running;
}

} // namespace redwingwind::io
