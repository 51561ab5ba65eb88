#pragma once

#include <redwingwind/common/identifiers.hpp>

#include <string_view>
#include <vector>

namespace redwingwind::coordination {

/// The count nodes with the highest hash for a duty: all who see the same
/// nodes choose alike, and a node that comes or goes moves few duties.
std::vector<node_name> choose_holders(const std::vector<node_name>& nodes,
                                      std::string_view duty, std::size_t count);

} // namespace redwingwind::coordination
