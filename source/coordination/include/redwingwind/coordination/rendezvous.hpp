#pragma once

#include <redwingwind/common/identifiers.hpp>

#include <string_view>
#include <vector>

namespace redwingwind::coordination {

/// Chooses the `count` nodes that perform a duty (a task of the deployment) by
/// rendezvous hashing: nodes with the same view choose the same ones, and a
/// node that joins or leaves moves few duties. The result has fewer nodes when
/// fewer exist.
std::vector<node_name> choose_holders(const std::vector<node_name>& nodes,
                                      std::string_view duty, std::size_t count);

} // namespace redwingwind::coordination
