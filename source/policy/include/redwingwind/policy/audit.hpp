#pragma once

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace redwingwind::policy {

/// Records who changed what, when and why. Each entry contains the hash of the
/// previous one, so that altered or removed entries are detected.
struct audit_entry {
    std::uint64_t generation{};
    std::string change_id;
    std::string author;
    /// Wall clock, microseconds since 1970.
    std::uint64_t time_us{};
    std::string what;
    std::string why;
    std::string previous_hash;
    std::string hash;

    auto operator<=>(const audit_entry&) const = default;
};

/// Returns the entry with previous_hash and its own hash set.
audit_entry seal(audit_entry entry, const std::string& previous_hash);

/// Checks the hash chain. Errors: conflict, with the generation of the first
/// entry that does not match.
absl::Status verify(const std::vector<audit_entry>& entries);

nlohmann::json to_json(const audit_entry& entry);
/// Throws nlohmann::json::exception when a field is missing.
audit_entry audit_from_json(const nlohmann::json& json);

} // namespace redwingwind::policy
