#include <redwingwind/relay/owner_table.hpp>

#include <algorithm>
#include <cstring>
#include <limits>

namespace redwingwind::relay {
namespace {

std::uint64_t prefix_of(const sha256_digest& digest) {
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), sizeof(prefix));
    return prefix;
}

} // namespace

owner_table::owner_table(const std::vector<owner_rule>& owners) {
    owners_.reserve(owners.size());
    std::size_t n = 0;
    for (const auto& it : owners)
        n += it.credentials.size();
    by_digest_.reserve(n);
    for (const auto& it : owners) {
        for (const auto& digest : it.credentials)
            by_digest_.emplace(prefix_of(digest),
                               entry{digest, owners_.size()});
        owners_.push_back({it.name, {}, it.priority, it.rate_per_s, it.burst});
    }
}

const owner_rule* owner_table::find(std::string_view credential) const {
    if (credential.empty() || by_digest_.empty())
        return nullptr;
    const auto digest = sha256(credential);
    const auto [first, last] = by_digest_.equal_range(prefix_of(digest));
    auto found = std::numeric_limits<std::size_t>::max();
    for (auto it = first; it != last; ++it)
        if (constant_time_equals(it->second.digest, digest))
            found = std::min(found, it->second.owner);
    return found < owners_.size() ? &owners_[found] : nullptr;
}

} // namespace redwingwind::relay
