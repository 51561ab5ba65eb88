#pragma once

#include <redwingwind/coordination/config_replicator.hpp>
#include <redwingwind/platform_adapter/object_store.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace redwingwind::node {

/// A graph's configuration to be written to the store.
struct graph_write {
    graph_name graph;
    std::string text;
    /// Of the object that it replaces; 0 creates it.
    std::uint64_t over_version{};

    auto operator<=>(const graph_write&) const = default;
};

struct lost_graphs {
    /// In force here, and missing or older in the store.
    std::vector<graph_write> to_write;
    /// In the store is a change that was made without knowledge of the one in
    /// force. Neither is overwritten: the operator decides.
    std::vector<graph_name> diverged;
};

/// What a store that restarted from a copy has lost of the graphs in force on
/// this node, given all graphs that it holds.
lost_graphs find_lost_graphs(const coordination::config_replicator& in_force,
                             const platform_adapter::listing& stored);

} // namespace redwingwind::node
