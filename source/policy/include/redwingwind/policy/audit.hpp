#pragma once

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace redwingwind::policy {

/// Who changed what, when and why. Each entry carries the hash of the one
/// before, so that none can be altered or taken out unseen.
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

/// Fills in the two hashes.
audit_entry seal(audit_entry entry, const std::string& previous_hash);

/// Errors: conflict, with the first entry whose hash does not fit.
absl::Status verify(const std::vector<audit_entry>& entries);

nlohmann::json to_json(const audit_entry& entry);
/// Throws nlohmann::json::exception when a field is missing.
audit_entry audit_from_json(const nlohmann::json& json);

} // namespace redwingwind::policy
