#include <redwingwind/coordination/allowance.hpp>

#include <redwingwind/common/hash.hpp>

#include <algorithm>

namespace redwingwind::coordination {
namespace {

/// Nodes assumed for each contact while none of them was ever reached. The
/// store names up to six.
constexpr std::size_t nodes_per_contact = 16;

} // namespace

std::uint16_t shard_of(const owner_name& owner) {
    return static_cast<std::uint16_t>(digest(owner.value) % allowance_shards);
}

std::uint32_t estimate_nodes(std::size_t known, std::size_t contacts,
                             std::size_t reached) {
    if (contacts == 0 || reached >= contacts)
        return static_cast<std::uint32_t>(known);
    if (reached == 0)
        return static_cast<std::uint32_t>(
            std::max(known, contacts * nodes_per_contact));
    return static_cast<std::uint32_t>((known * contacts + reached - 1) /
                                      reached);
}

} // namespace redwingwind::coordination
