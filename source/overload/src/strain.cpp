#include <redwingwind/overload/strain.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

constexpr double fade_time_s = 0.2;
/// A wait longer than this is a sign of too little room.
constexpr duration noticeable_wait = std::chrono::milliseconds(20);
/// Calls that a meter must have seen for its value to count in full.
constexpr double few_calls = 5;

} // namespace

double strain_meter::fade(time_point now) const {
    return std::exp(-seconds(now - last_) / fade_time_s);
}

void strain_meter::add(time_point now, double bad) {
    const double left = fade(now);
    bad_ = bad_ * left + bad;
    all_ = all_ * left + 1;
    last_ = now;
}

void strain_meter::on_started(time_point now, duration waited) {
    add(now, waited > noticeable_wait ? 1 : 0);
}

void strain_meter::on_refused(time_point now) {
    add(now, 1);
}

double strain_meter::value(time_point now) const {
    return bad_ * fade(now) / (all_ * fade(now) + few_calls);
}

void root_admission::on_strain(time_point now, const service_name& service,
                               double strain) {
    auto& it = services_[service];
    if (it.told == time_point{}) {
        it.share.fill(1.0);
        it.adjusted = now;
    }
    constexpr double weight = 0.2;
    it.strain += weight * (strain - it.strain);
    it.told = now;
}

double root_admission::strain_below(time_point now,
                                    const service_name& service) const {
    const auto found = services_.find(service);
    if (found == services_.end() || now - found->second.told > options_.memory)
        return 0;
    return found->second.strain;
}

void root_admission::adjust(time_point now, state& it) const {
    const auto steps = (now - it.adjusted) / options_.interval;
    if (steps <= 0)
        return;
    it.adjusted = now;
    const bool is_known = now - it.told <= options_.memory;
    const double strain = is_known ? it.strain : 0;
    for (std::size_t n = 0; n < priorities; ++n) {
        const double threshold =
            n == 0 ? options_.urgent_threshold : options_.threshold;
        auto& share = it.share[n];
        if (strain > threshold)
            share = std::max(options_.least, share * (1 - options_.decrease));
        else
            share = std::min(1.0, share + options_.increase *
                                              static_cast<double>(steps));
    }
}

bool root_admission::admits(time_point now, const service_name& service,
                            std::uint8_t priority, double draw) {
    const auto found = services_.find(service);
    if (found == services_.end())
        return true;
    adjust(now, found->second);
    const auto n = std::min<std::size_t>(priority, priorities - 1);
    return draw < found->second.share[n];
}

} // namespace redwingwind::overload
