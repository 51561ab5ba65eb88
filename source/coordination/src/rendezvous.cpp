#include <redwingwind/coordination/rendezvous.hpp>

#include <redwingwind/common/hash.hpp>

#include <algorithm>

namespace redwingwind::coordination {

std::vector<node_name> choose_holders(const std::vector<node_name>& nodes,
                                      std::string_view duty,
                                      std::size_t count) {
    const auto seed = digest(duty);
    const auto ranks_higher = [seed](const node_name& a, const node_name& b) {
        const auto hash_a = digest(a.value, seed);
        const auto hash_b = digest(b.value, seed);
        return hash_a != hash_b ? hash_a > hash_b : a < b;
    };
    auto chosen = nodes;
    const auto n = std::min(count, chosen.size());
    std::partial_sort(chosen.begin(),
                      chosen.begin() + static_cast<std::ptrdiff_t>(n),
                      chosen.end(), ranks_higher);
    chosen.resize(n);
    return chosen;
}

} // namespace redwingwind::coordination
