#include <redwingwind/engine/arrival_log.hpp>

#include <algorithm>

namespace redwingwind::engine {

void arrival_log::record(time_point now, const call_origin& origin) {
    by_age_.push_back({origin, now});
    if (by_age_.size() > max_entries_)
        remove_expired(by_age_.front().at + retention_);
}

bool arrival_log::arrive(time_point now, const call_origin& origin) {
    auto& caller = callers_[origin.caller];
    // The entry of a sequence number this old may have expired, and with it the
    // record that the call was ruled out.
    if (origin.sequence <= caller.expired_up_to ||
        caller.ruled_out.count(origin.sequence) > 0)
        return false;
    if (!caller.arrived.insert(origin.sequence).second)
        return false;
    record(now, origin);
    return true;
}

bool arrival_log::rule_out(time_point now, const call_origin& origin) {
    auto& caller = callers_[origin.caller];
    if (caller.ruled_out.count(origin.sequence) > 0)
        return true;
    if (origin.sequence <= caller.expired_up_to ||
        caller.arrived.count(origin.sequence) > 0)
        return false;
    caller.ruled_out.insert(origin.sequence);
    record(now, origin);
    return true;
}

void arrival_log::remove_expired(time_point now) {
    while (!by_age_.empty() && now - by_age_.front().at >= retention_) {
        const auto& origin = by_age_.front().origin;
        const auto it = callers_.find(origin.caller);
        if (it != callers_.end()) {
            auto& caller = it->second;
            caller.arrived.erase(origin.sequence);
            caller.ruled_out.erase(origin.sequence);
            caller.expired_up_to =
                std::max(caller.expired_up_to, origin.sequence);
        }
        by_age_.pop_front();
    }
}

} // namespace redwingwind::engine
