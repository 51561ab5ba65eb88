#pragma once

#include <redwingwind/usage/meter.hpp>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace redwingwind::usage {

/// Rows of many lives of nodes. Merging takes the larger counters, so a
/// report that comes twice, late or by two ways changes nothing.
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

/// One write of a roll-up, chained to the one before by its hash.
struct chain_link {
    std::uint64_t number{};
    std::uint64_t time_us{};
    /// Hash of the rows as they were written then.
    std::string rows_hash;
    std::string previous_hash;
    std::string hash;

    auto operator<=>(const chain_link&) const = default;
};

/// A roll-up as it lies in the store.
struct usage_document {
    roll_up content;
    /// The newest links; the last one fits the content.
    std::vector<chain_link> chain;
};

/// The document with more rows merged in and one more link.
usage_document extend(const usage_document& current, const roll_up& more,
                      std::uint64_t time_us);

/// Errors: conflict, naming the link that does not fit.
absl::Status verify(const usage_document& document);

std::string to_text(const usage_document& document);
/// Errors: bad_input.
absl::StatusOr<usage_document> parse_usage(const std::string& text);

} // namespace redwingwind::usage
