#include <redwingwind/overload/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace redwingwind::overload {
namespace {

constexpr auto window = std::chrono::milliseconds(200);
/// The limit is lowered in the first window of each cycle.
constexpr int windows_per_cycle = 16;
constexpr double lowered_share = 0.8;
/// Calls are compared only if at least this share of the limit was in use.
constexpr double saturated_share = 0.9;
/// Samples needed at the full and at the lowered limit for a comparison.
constexpr std::uint32_t min_samples = 200;
/// Weight of the latest comparison in the average elasticity.
constexpr double elasticity_weight = 0.3;
/// Above this, calls wait inside the target and the limit is reduced.
constexpr double queueing_elasticity = 0.7;
/// Below this, the target has unused capacity and the limit is raised.
constexpr double parallel_elasticity = 0.3;
/// Relative change of the limit in one adjustment.
constexpr double adjustment_step = 0.05;
/// Factor of the limit when the target rejects a call.
constexpr double shed_factor = 0.9;
/// Further rejections by the target within this time do not reduce the limit
/// again.
constexpr auto min_shed_interval = std::chrono::milliseconds(200);
/// Share of the limit at the start of the warm-up.
constexpr double initial_warm_up_share = 0.25;
constexpr double max_limit_per_announced_slot = 2.0;

} // namespace

void concurrency_limit::window_stats::add(duration latency,
                                          std::uint32_t running) {
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

double concurrency_limit::warm_up_share(time_point now) const {
    if (options_.warm_up <= duration::zero())
        return 1.0;
    const double age = seconds(now - started_) / seconds(options_.warm_up);
    return std::clamp(initial_warm_up_share + (1 - initial_warm_up_share) * age,
                      initial_warm_up_share, 1.0);
}

std::uint32_t concurrency_limit::value(time_point now) const {
    if (!options_.adaptive)
        return std::max(options_.announced_slots, options_.min_limit);
    double n = limit_ * warm_up_share(now);
    if (is_probing(now))
        n *= lowered_share;
    return std::max(options_.min_limit,
                    static_cast<std::uint32_t>(std::lround(n)));
}

void concurrency_limit::on_complete(time_point now, duration latency,
                                    std::uint32_t running) {
    if (!options_.adaptive || warm_up_share(now) < 1.0)
        return;
    const double low = limit_ * lowered_share;
    if (running >= limit_ * saturated_share)
        full_.add(latency, running);
    else if (running >= low * saturated_share && running <= low + 1)
        lowered_.add(latency, running);
    if (full_.samples >= min_samples && lowered_.samples >= min_samples)
        adjust_limit();
}

void concurrency_limit::adjust_limit() {
    const double concurrency_ratio =
        full_.mean_running() / lowered_.mean_running();
    const double latency_ratio = full_.mean_latency() / lowered_.mean_latency();
    full_ = {};
    lowered_ = {};
    if (concurrency_ratio <= 1.0 || !(latency_ratio > 0.0))
        return;
    const double measured =
        std::log(latency_ratio) / std::log(concurrency_ratio);
    elasticity_ +=
        elasticity_weight * (std::clamp(measured, -1.0, 2.0) - elasticity_);
    if (elasticity_ > queueing_elasticity)
        limit_ *= 1 - adjustment_step;
    else if (elasticity_ < parallel_elasticity)
        limit_ *= 1 + adjustment_step;
    limit_ = std::clamp<double>(limit_, options_.min_limit,
                                options_.announced_slots *
                                    max_limit_per_announced_slot);
}

void concurrency_limit::on_shed(time_point now) {
    if (!options_.adaptive || now - last_shed_ < min_shed_interval)
        return;
    last_shed_ = now;
    limit_ = std::max<double>(options_.min_limit, limit_ * shed_factor);
}

} // namespace redwingwind::overload
