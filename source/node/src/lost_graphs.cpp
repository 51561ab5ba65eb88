#include "lost_graphs.hpp"

#include <redwingwind/policy/graph_document.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace redwingwind::node {
namespace {

struct stored_graph {
    policy::graph_document document;
    std::uint64_t version{};
};

std::map<graph_name, stored_graph>
read_stored(const platform_adapter::listing& stored) {
    std::map<graph_name, stored_graph> all;
    for (const auto& it : stored.objects) {
        auto document = policy::parse_document(it.value);
        if (!document.ok())
            continue;
        const auto graph = document->graph;
        all.insert_or_assign(graph,
                             stored_graph{*std::move(document), it.version});
    }
    return all;
}

/// Whether the configuration in force was made from the stored one.
bool is_built_on(const std::string& text, const policy::graph_document& base) {
    const auto document = policy::parse_document(text);
    return document.ok() &&
           std::any_of(
               document->audit.begin(), document->audit.end(),
               [&](const auto& it) { return it.change_id == base.change_id; });
}

} // namespace

lost_graphs find_lost_graphs(const coordination::config_replicator& in_force,
                             const platform_adapter::listing& stored) {
    const auto held = read_stored(stored);
    lost_graphs lost;
    for (const auto& generation : in_force.generations()) {
        const auto& text = in_force.find(generation.graph)->body;
        const auto there = held.find(generation.graph);
        if (there == held.end())
            lost.to_write.push_back({generation.graph, text, 0});
        else if (there->second.document.generation >= generation.generation)
            continue;
        else if (is_built_on(text, there->second.document))
            lost.to_write.push_back(
                {generation.graph, text, there->second.version});
        else
            lost.diverged.push_back(generation.graph);
    }
    return lost;
}

} // namespace redwingwind::node
