#include <redwingwind/policy/audit.hpp>

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/hash.hpp>

#include <absl/strings/str_cat.h>

namespace redwingwind::policy {
namespace {

std::string hash_of(const audit_entry& entry) {
    // JSON delimits the fields unambiguously, whatever they contain.
    const nlohmann::json fields{
        entry.generation, entry.change_id, entry.author,       entry.time_us,
        entry.what,       entry.why,       entry.previous_hash};
    return sha256_hex(fields.dump());
}

} // namespace

audit_entry seal(audit_entry entry, const std::string& previous_hash) {
    entry.previous_hash = previous_hash;
    entry.hash = hash_of(entry);
    return entry;
}

absl::Status verify(const std::vector<audit_entry>& entries) {
    for (std::size_t n = 0; n < entries.size(); ++n) {
        const bool is_linked =
            n == 0 || entries[n].previous_hash == entries[n - 1].hash;
        if (!is_linked || entries[n].hash != hash_of(entries[n]))
            return make_error(error_code::conflict,
                              absl::StrCat("generation ", entries[n].generation,
                                           ": the audit hash does not match"));
    }
    return absl::OkStatus();
}

nlohmann::json to_json(const audit_entry& entry) {
    return {{"generation", entry.generation},
            {"change_id", entry.change_id},
            {"author", entry.author},
            {"time_us", entry.time_us},
            {"what", entry.what},
            {"why", entry.why},
            {"previous_hash", entry.previous_hash},
            {"hash", entry.hash}};
}

audit_entry audit_from_json(const nlohmann::json& json) {
    return {json.at("generation").get<std::uint64_t>(),
            json.at("change_id").get<std::string>(),
            json.at("author").get<std::string>(),
            json.at("time_us").get<std::uint64_t>(),
            json.at("what").get<std::string>(),
            json.at("why").get<std::string>(),
            json.at("previous_hash").get<std::string>(),
            json.at("hash").get<std::string>()};
}

} // namespace redwingwind::policy
