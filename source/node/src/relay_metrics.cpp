#include "relay_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace redwingwind::node {
namespace {

using coordination::outcome;

/// Upper ends of the latency buckets, in seconds.
const prometheus::Histogram::BucketBoundaries latency_buckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

const char* name_of(outcome what, error_code why) {
    switch (what) {
    case outcome::done:
        return why == error_code::none ? "served" : "failed_by_target";
    case outcome::not_run:
        return "turned_away";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

void set(prometheus::Registry& registry, const std::string& name,
         const std::string& help, double value,
         const prometheus::Labels& labels = {}) {
    prometheus::BuildGauge()
        .Name("redwingwind_" + name)
        .Help(help)
        .Register(registry)
        .Add(labels)
        .Set(value);
}

void set_services(prometheus::Registry& registry,
                  const std::vector<relay::service_targets>& services) {
    for (const auto& it : services) {
        const prometheus::Labels labels{{"service", it.service.value}};
        set(registry, "targets", "Targets known to be ready",
            static_cast<double>(it.targets), labels);
        set(registry, "targets_fullness",
            "Mean share of the targets' slots in use, as last told",
            it.occupancy, labels);
        set(registry, "repeats_left",
            "Repeats that this node may still make in the window",
            it.retries_left, labels);
        set(registry, "targets_forecast",
            "1 while targets are chosen by the load that is expected now",
            it.uses_forecast ? 1 : 0, labels);
        set(registry, "targets_report_age_seconds",
            "Mean age of the targets' latest reports", it.report_age_s, labels);
        set(registry, "targets_figures_ignored",
            "Relative service times out of range, since the start",
            static_cast<double>(it.ignored_figures), labels);
    }
}

void set_era(prometheus::Registry& registry, const relay_gauges& now) {
    set(registry, "store_era", "Highest era seen; 0 if the store tells none",
        static_cast<double>(now.store_era));
    set(registry, "store_era_changes",
        "Restarts of the store from a copy, since the start",
        static_cast<double>(now.store_era_changes));
    set(registry, "store_late_responses",
        "Responses of an earlier era that were ignored, since the start",
        static_cast<double>(now.store_late_responses));
    set(registry, "store_listings",
        "Times that this node was written to the list of nodes to meet",
        static_cast<double>(now.store_listings));
}

void set_owner_limits(prometheus::Registry& registry,
                      const coordination::owner_limiter_state& it) {
    if (it.limited_owners == 0)
        return;
    set(registry, "limited_owners", "Owners with a rate",
        static_cast<double>(it.limited_owners));
    set(registry, "owners_granted_here",
        "Owners whose allowances this node grants",
        static_cast<double>(it.granted_owners));
    set(registry, "calls_awaiting_allowance",
        "Calls that wait for a grantor's reply",
        static_cast<double>(it.waiting));
    set(registry, "limit_nodes", "Nodes that the limits are divided by",
        it.nodes);
    const auto& all = it.counters;
    const std::vector<std::pair<const char*, std::uint64_t>> counts{
        {"granted", all.granted},  {"refused", all.refused},
        {"expired", all.expired},  {"returned", all.returned},
        {"waited", all.waited},    {"without_grantor", all.without_grantor},
        {"requests", all.requests}};
    for (const auto& [kind, count] : counts)
        set(registry, "allowances",
            "Allowances of limited owners and calls for them, since the start",
            static_cast<double>(count), {{"kind", kind}});
}

} // namespace

class relay_metrics::impl {
  public:
    impl()
        : calls_(prometheus::BuildCounter()
                     .Name("redwingwind_calls_total")
                     .Help("Calls of callers on this machine")
                     .Register(registry_)),
          latency_(prometheus::BuildHistogram()
                       .Name("redwingwind_call_seconds")
                       .Help("From a call's arrival to its answer")
                       .Register(registry_)),
          runs_(prometheus::BuildCounter()
                    .Name("redwingwind_runs_total")
                    .Help("Calls that came to the target of this node")
                    .Register(registry_)),
          repeats_(prometheus::BuildCounter()
                       .Name("redwingwind_repeats_total")
                       .Help("Calls given to a target once more")
                       .Register(registry_)),
          waits_(prometheus::BuildHistogram()
                     .Name("redwingwind_wait_seconds")
                     .Help("Time before the target beside this node")
                     .Register(registry_)
                     .Add({}, latency_buckets)),
          times_(prometheus::BuildHistogram()
                     .Name("redwingwind_run_seconds")
                     .Help("Time at the target beside this node")
                     .Register(registry_)
                     .Add({}, latency_buckets)) {}

    void on_call(const relay::finished_call& call) {
        auto& it = of_call(call.service, call.priority,
                           name_of(call.outcome, call.error));
        it.count->Increment();
        it.latency->Observe(seconds(call.latency));
    }

    void on_run(const relay::finished_execution& run) {
        const auto* end = name_of(run.outcome, run.error);
        auto& count = run_counts_[end];
        if (count == nullptr)
            count = &runs_.Add({{"outcome", end}});
        count->Increment();
        waits_.Observe(seconds(run.queue_time));
        if (run.outcome != outcome::not_run)
            times_.Observe(seconds(run.service_time));
    }

    void on_event(const relay::call_event& event) {
        if (event.name != "repeated")
            return;
        auto& count = repeat_counts_[event.error];
        if (count == nullptr)
            count =
                &repeats_.Add({{"why", std::string(to_string(event.error))}});
        count->Increment();
    }

    std::string text(const relay_gauges& now) {
        prometheus::Registry gauges;
        set(gauges, "live_nodes", "Nodes that count as alive, this one too",
            static_cast<double>(now.live_nodes));
        set(gauges, "open_calls", "Calls without an answer yet",
            static_cast<double>(now.open_calls));
        set(gauges, "configuration_version", "In force; 0 for none",
            static_cast<double>(now.policy_version));
        set(gauges, "configuration_age_seconds", "Since it came into force",
            seconds(now.policy_age));
        set(gauges, "store_reached", "1 while the store answers",
            now.is_store_reached ? 1 : 0);
        set(gauges, "store_calls", "Calls made to the store",
            static_cast<double>(now.store_calls));
        set_era(gauges, now);
        set(gauges, "log_lines_left_out", "Under load, since the start",
            static_cast<double>(now.log_lines_left_out));
        set(gauges, "target_running", "Calls at the target beside this node",
            now.target.running);
        set(gauges, "target_waiting", "Calls that wait for a slot of it",
            now.target.queued);
        set(gauges, "target_limit", "Slots of it that are used",
            now.target.limit);
        set(gauges, "target_strain",
            "Work that comes and waits, by what it can do", now.target_strain);
        set(gauges, "target_relative_service_time",
            "Service time of it over the usual one; 0 if it tells none",
            now.target.relative_service_time / 100.0);
        set(gauges, "target_figures_ignored",
            "Responses of it whose load figures were ignored, since the start",
            static_cast<double>(now.target_figures_ignored));
        set(gauges, "target_connections_opened",
            "Connections opened to the target, since the start",
            static_cast<double>(now.target_connections.opened));
        set(gauges, "target_unmatched_responses",
            "Responses of the target that no call waited for, since the start",
            static_cast<double>(now.target_connections.unmatched_responses));
        set_services(gauges, now.services);
        set_owner_limits(gauges, now.owner_limits);
        set_memory(gauges, now);
        auto all = registry_.Collect();
        auto more = gauges.Collect();
        all.insert(all.end(), more.begin(), more.end());
        return prometheus::TextSerializer().Serialize(all);
    }

  private:
    static void set_memory(prometheus::Registry& gauges,
                           const relay_gauges& now) {
        set(gauges, "memory_capacity_bytes", "May be held for peers",
            static_cast<double>(now.memory_capacity));
        auto& held = prometheus::BuildGauge()
                         .Name("redwingwind_memory_held_bytes")
                         .Help("Held for peers, by kind")
                         .Register(gauges);
        for (std::size_t n = 0; n < now.memory_held.size(); ++n)
            held.Add({{"kind", std::string(to_string(
                                   static_cast<io::memory_kind>(n)))}})
                .Set(static_cast<double>(now.memory_held[n]));
        auto& relief =
            prometheus::BuildGauge()
                .Name("redwingwind_memory_relief")
                .Help("Rejected or closed as memory was short, since "
                      "the start")
                .Register(gauges);
        const auto add = [&](const char* what, std::uint64_t count) {
            relief.Add({{"what", what}}).Set(static_cast<double>(count));
        };
        add("request_rejected", now.callers.rejected_for_memory);
        add("slow_request_rejected", now.callers.slow_requests);
        add("slow_reader_closed", now.callers.slow_readers);
        add("call_rejected", now.calls_rejected_for_memory);
        add("response_dropped", now.target_connections.dropped_responses);
    }

    struct series_key {
        service_name service;
        std::uint8_t priority{};
        const char* end{};

        auto operator<=>(const series_key&) const = default;
    };
    struct call_series {
        prometheus::Counter* count{};
        prometheus::Histogram* latency{};
    };

    call_series& of_call(const service_name& service, std::uint8_t priority,
                         const char* end) {
        auto& it = call_series_[{service, priority, end}];
        if (it.count != nullptr)
            return it;
        const prometheus::Labels labels{{"service", service.value},
                                        {"priority", std::to_string(priority)},
                                        {"outcome", end}};
        it.count = &calls_.Add(labels);
        it.latency = &latency_.Add(labels, latency_buckets);
        return it;
    }

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& calls_;
    prometheus::Family<prometheus::Histogram>& latency_;
    prometheus::Family<prometheus::Counter>& runs_;
    prometheus::Family<prometheus::Counter>& repeats_;
    prometheus::Histogram& waits_;
    prometheus::Histogram& times_;
    // By the literals of name_of().
    std::map<series_key, call_series> call_series_;
    std::map<const char*, prometheus::Counter*> run_counts_;
    std::map<error_code, prometheus::Counter*> repeat_counts_;
};

relay_metrics::relay_metrics() : impl_(std::make_unique<impl>()) {}

relay_metrics::~relay_metrics() = default;

void relay_metrics::on_call(const relay::finished_call& call) {
    impl_->on_call(call);
}

void relay_metrics::on_run(const relay::finished_execution& run) {
    impl_->on_run(run);
}

void relay_metrics::on_event(const relay::call_event& event) {
    impl_->on_event(event);
}

std::string relay_metrics::text(const relay_gauges& now) const {
    return impl_->text(now);
}

} // namespace redwingwind::node
