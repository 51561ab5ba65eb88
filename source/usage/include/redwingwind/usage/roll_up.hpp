#pragma once

#include <redwingwind/usage/meter.hpp>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace redwingwind::usage {

/// Usage rows of many nodes and their incarnations. Merging keeps the larger
/// value of each counter, so the result depends neither on the order of reports
/// nor on duplicates.
class roll_up {
  public:
    void merge(const usage_row& row);
    void merge(const roll_up& other);
    std::vector<usage_row> rows() const;
    bool empty() const { return rows_.empty(); }

    bool operator==(const roll_up&) const = default;

  private:
    struct key {
        node_incarnation node;
        owner_name owner;
        service_name service;
        overload::importance kind{};
        bool is_executing_side{};

        auto operator<=>(const key&) const = default;
    };

    std::map<key, usage_row> rows_;
};

/// Describes one write of a roll-up; linked to the previous write by its hash.
struct chain_link {
    std::uint64_t number{};
    /// Wall clock, microseconds since 1970.
    std::uint64_t time_us{};
    /// Hash of all rows as of this write.
    std::string rows_hash;
    std::string previous_hash;
    std::string hash;

    auto operator<=>(const chain_link&) const = default;
};

/// A roll-up as it is stored, with a hash chain that reveals alterations.
struct usage_document {
    roll_up content;
    /// The newest links; the last one holds the hash of the content.
    std::vector<chain_link> chain;
};

/// Returns the document with the rows merged in and a link appended.
usage_document extend(const usage_document& current, const roll_up& more,
                      std::uint64_t time_us);

/// Checks the hash chain. Errors: conflict, when a link or the rows do not
/// match their hash, with the number of the first such link.
absl::Status verify(const usage_document& document);

/// Formats a document as text that parse_usage() accepts.
std::string to_text(const usage_document& document);
/// Errors: bad_input.
absl::StatusOr<usage_document> parse_usage(const std::string& text);

} // namespace redwingwind::usage
