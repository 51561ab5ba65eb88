#include <redwingwind/coordination/config_replicator.hpp>

#include <redwingwind/common/hash.hpp>

#include <algorithm>

namespace redwingwind::coordination {
namespace {

/// Several peers gossip the same change. The configuration is requested from
/// one of them, and from the next one only after this time.
constexpr auto request_retry_interval = std::chrono::milliseconds(300);

std::uint64_t generation_digest(const config_frame& config) {
    return digest(config.graph.value, config.generation);
}

} // namespace

std::uint64_t config_replicator::generation_of(const graph_name& graph) const {
    const auto* known = find(graph);
    return known == nullptr ? 0 : known->generation;
}

const config_frame* config_replicator::find(const graph_name& graph) const {
    const auto it = in_force_.find(graph);
    return it == in_force_.end() ? nullptr : &it->second;
}

std::vector<config_generation> config_replicator::generations() const {
    std::vector<config_generation> all;
    for (const auto& [graph, it] : in_force_)
        all.push_back({graph, it.generation});
    return all;
}

bool config_replicator::offer(const config_frame& config) {
    if (config.generation <= generation_of(config.graph))
        return false;
    auto& known = in_force_[config.graph];
    if (known.generation > 0)
        digest_ ^= generation_digest(known);
    known = config;
    digest_ ^= generation_digest(known);
    last_request_.erase(config.graph);
    hooks_.on_accept(config);
    hooks_.gossip({config.graph, config.generation});
    return true;
}

void config_replicator::on_gossip(time_point now, const member_record& from,
                                  const config_generation& reported) {
    if (reported.generation <= generation_of(reported.graph))
        return;
    const auto it = last_request_.find(reported.graph);
    if (it != last_request_.end() && now - it->second < request_retry_interval)
        return;
    last_request_[reported.graph] = now;
    config_summary_frame request;
    request.generations.push_back(
        {reported.graph, generation_of(reported.graph)});
    hooks_.send(from, request);
}

void config_replicator::exchange(const member_record& with) {
    hooks_.send(with, config_summary_frame{generations(), true});
}

void config_replicator::on_summary(const member_record& from,
                                   const config_summary_frame& summary) {
    config_summary_frame wanted;
    for (const auto& it : summary.generations) {
        const auto* known = find(it.graph);
        if (known != nullptr && known->generation > it.generation)
            hooks_.send(from, *known);
        if (generation_of(it.graph) < it.generation)
            wanted.generations.push_back({it.graph, generation_of(it.graph)});
    }
    if (!summary.wants_reply)
        return;
    for (const auto& it : in_force_) {
        const auto& known = it.second;
        const bool is_listed =
            std::any_of(summary.generations.begin(), summary.generations.end(),
                        [&](const config_generation& reported) {
                            return reported.graph == known.graph;
                        });
        if (!is_listed)
            hooks_.send(from, known);
    }
    if (!wanted.generations.empty())
        hooks_.send(from, wanted);
}

} // namespace redwingwind::coordination
