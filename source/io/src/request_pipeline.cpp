#include "request_pipeline.hpp"

#include <algorithm>
#include <utility>

namespace redwingwind::io {

void request_pipeline::add(pipelined_request entry) {
    bytes_ += entry.bytes;
    // An entry that is added with its response (a rejection) never runs.
    if (entry.response && next_ == entries_.size())
        ++next_;
    entries_.push_back(std::move(entry));
}

bool request_pipeline::may_start(std::size_t index, bool is_closing) const {
    if (index == 0)
        return true;
    const auto& first = entries_.front();
    const bool runs_alone = first.is_running && !first.is_idempotent;
    return !is_closing && !runs_alone && entries_[index].is_idempotent;
}

pipelined_request* request_pipeline::start_next(bool is_closing) {
    while (next_ < entries_.size() && entries_[next_].response)
        ++next_;
    if (next_ == entries_.size() || !may_start(next_, is_closing))
        return nullptr;
    auto& it = entries_[next_++];
    it.is_running = true;
    ++running_;
    return &it;
}

bool request_pipeline::respond(std::uint64_t sequence, http_response response) {
    const auto it = std::find_if(
        entries_.begin(), entries_.end(), [&](const pipelined_request& entry) {
            return entry.sequence == sequence && entry.is_running;
        });
    if (it == entries_.end())
        return false;
    it->is_running = false;
    --running_;
    bytes_ -= it->bytes;
    it->bytes = response.body.size();
    bytes_ += it->bytes;
    response_bytes_ += it->bytes;
    it->request = {};
    it->response = std::move(response);
    return true;
}

std::optional<pipelined_request> request_pipeline::pop_responded() {
    if (entries_.empty() || !entries_.front().response)
        return std::nullopt;
    auto first = std::move(entries_.front());
    entries_.pop_front();
    next_ -= next_ > 0 ? 1 : 0;
    bytes_ -= first.bytes;
    response_bytes_ -= first.bytes;
    return first;
}

std::vector<std::uint64_t> request_pipeline::drop_all() {
    std::vector<std::uint64_t> running;
    for (const auto& it : entries_)
        if (it.is_running)
            running.push_back(it.sequence);
    entries_.clear();
    next_ = 0;
    running_ = 0;
    bytes_ = 0;
    response_bytes_ = 0;
    return running;
}

} // namespace redwingwind::io
