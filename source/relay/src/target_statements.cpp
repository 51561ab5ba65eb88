#include <redwingwind/relay/target_statements.hpp>

#include <algorithm>

namespace redwingwind::relay {
namespace {

/// Bounds what a flood of statements costs; the oldest are forgotten first.
constexpr std::size_t max_remembered = 64;

} // namespace

bool target_statements::is_current(const target_announcement& heartbeat) const {
    return heartbeat.instance == current_.instance &&
           heartbeat.started_ms == current_.started_ms;
}

bool target_statements::has_ended(const target_announcement& heartbeat) const {
    return std::any_of(ended_.begin(), ended_.end(), [&](const auto& it) {
        return it.instance == heartbeat.instance &&
               heartbeat.started_ms <= it.started_ms;
    });
}

bool target_statements::is_present(time_point now) const {
    return is_claimed_ && now <= present_until();
}

bool target_statements::is_older(time_point now,
                                 const target_announcement& heartbeat) const {
    if (is_current(heartbeat))
        return heartbeat.sequence <= current_.sequence;
    return is_present(now) && heartbeat.started_ms < current_.started_ms;
}

bool target_statements::announce(time_point now,
                                 const target_announcement& heartbeat) {
    forget_old(now);
    if (has_ended(heartbeat) || is_older(now, heartbeat))
        return false;
    const bool was_draining = is_current(heartbeat) && current_.is_draining;
    if (!is_current(heartbeat)) {
        ++incarnations_;
        first_heard_ = now;
        heard_.push_back({heartbeat.instance, heartbeat.started_ms});
        if (heard_.size() > max_remembered)
            heard_.pop_front();
    }
    current_ = heartbeat;
    current_.is_draining |= was_draining;
    last_heard_ = now;
    is_claimed_ = true;
    return true;
}

std::uint64_t target_statements::depart(time_point now,
                                        const std::string& instance,
                                        std::uint64_t wall_ms) {
    const auto heard =
        std::find_if(heard_.rbegin(), heard_.rend(),
                     [&](const auto& it) { return it.instance == instance; });
    const auto started_ms =
        heard == heard_.rend() ? wall_ms : heard->started_ms;
    end(now, instance, started_ms);
    return started_ms;
}

void target_statements::deny(time_point now) {
    end(now, current_.instance, current_.started_ms);
}

void target_statements::forget_old(time_point now) {
    std::erase_if(ended_, [now](const auto& it) { return it.until <= now; });
}

void target_statements::end(time_point now, const std::string& instance,
                            std::uint64_t started_ms) {
    if (instance == current_.instance && current_.started_ms <= started_ms)
        is_claimed_ = false;
    forget_old(now);
    // Several nodes tell of one departure, for as long as they remember it.
    const bool is_known =
        std::any_of(ended_.begin(), ended_.end(), [&](const auto& it) {
            return it.instance == instance && it.started_ms >= started_ms;
        });
    if (is_known)
        return;
    ended_.push_back({instance, started_ms, now + max_delay});
    if (ended_.size() > max_remembered)
        ended_.pop_front();
}

} // namespace redwingwind::relay
