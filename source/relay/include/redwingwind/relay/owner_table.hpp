#pragma once

#include <redwingwind/relay/traffic_policy.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace redwingwind::relay {

/// Finds the owner that a credential names. Only digests of credentials are
/// held, and the position of an entry depends on the digest: how long a look-up
/// takes tells nothing about a valid credential.
class owner_table {
  public:
    owner_table() = default;
    explicit owner_table(const std::vector<owner_rule>& owners);

    /// Nullptr for an empty or unknown credential. If owners share a
    /// credential, the first of them is found.
    const owner_rule* find(std::string_view credential) const;

    std::size_t size() const { return by_digest_.size(); }

  private:
    struct entry {
        sha256_digest digest;
        std::size_t owner{};
    };

    /// Without their credentials, which stand in by_digest_.
    std::vector<owner_rule> owners_;
    /// By the first eight bytes of the digest.
    std::unordered_multimap<std::uint64_t, entry> by_digest_;
};

} // namespace redwingwind::relay
