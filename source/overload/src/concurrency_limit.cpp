#include <redwingwind/overload/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

constexpr auto window = std::chrono::milliseconds(200);
constexpr int windows_per_cycle = 16;
constexpr double lowered_share = 0.8;
constexpr double saturated_share = 0.9;
constexpr std::uint32_t samples_needed = 200;
constexpr double smoothing = 0.3;
constexpr double waiting_elasticity = 0.7;
constexpr double free_elasticity = 0.3;
constexpr double step = 0.05;
constexpr double shed_factor = 0.9;
constexpr auto shed_pause = std::chrono::milliseconds(200);
constexpr double cold_share = 0.25;
constexpr double most_per_announced_slot = 2.0;

} // namespace

void concurrency_limit::phase::add(duration latency, std::uint32_t running) {
    total_latency += seconds(latency);
    total_running += running;
    ++samples;
}

concurrency_limit::concurrency_limit(concurrency_limit_options options,
                                     time_point now)
    : options_(options), started_(now), limit_(options.announced_slots) {}

bool concurrency_limit::is_probing(time_point now) const {
    const auto n = now.time_since_epoch() / window;
    return n % windows_per_cycle == 0;
}

double concurrency_limit::warm_share(time_point now) const {
    if (options_.warm_up <= duration::zero())
        return 1.0;
    const double age = seconds(now - started_) / seconds(options_.warm_up);
    return std::clamp(cold_share + (1 - cold_share) * age, cold_share, 1.0);
}

std::uint32_t concurrency_limit::value(time_point now) const {
    if (!options_.adaptive)
        return std::max(options_.announced_slots, options_.min_limit);
    double n = limit_ * warm_share(now);
    if (is_probing(now))
        n *= lowered_share;
    return std::max(options_.min_limit,
                    static_cast<std::uint32_t>(std::lround(n)));
}

void concurrency_limit::on_complete(time_point now, duration latency,
                                    std::uint32_t running) {
    if (!options_.adaptive || warm_share(now) < 1.0)
        return;
    const double low = limit_ * lowered_share;
    if (running >= limit_ * saturated_share)
        full_.add(latency, running);
    else if (running >= low * saturated_share && running <= low + 1)
        lowered_.add(latency, running);
    if (full_.samples >= samples_needed && lowered_.samples >= samples_needed)
        compare_phases();
}

void concurrency_limit::compare_phases() {
    const double more = full_.mean_running() / lowered_.mean_running();
    const double slower = full_.mean_latency() / lowered_.mean_latency();
    full_ = {};
    lowered_ = {};
    if (more <= 1.0 || !(slower > 0.0))
        return;
    const double measured = std::log(slower) / std::log(more);
    elasticity_ += smoothing * (std::clamp(measured, -1.0, 2.0) - elasticity_);
    if (elasticity_ > waiting_elasticity)
        limit_ *= 1 - step;
    else if (elasticity_ < free_elasticity)
        limit_ *= 1 + step;
    limit_ =
        std::clamp<double>(limit_, options_.min_limit,
                           options_.announced_slots * most_per_announced_slot);
}

void concurrency_limit::on_shed(time_point now) {
    if (!options_.adaptive || now - last_shed_ < shed_pause)
        return;
    last_shed_ = now;
    limit_ = std::max<double>(options_.min_limit, limit_ * shed_factor);
}

} // namespace redwingwind::overload
