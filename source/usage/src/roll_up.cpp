#include <redwingwind/usage/roll_up.hpp>

#include <redwingwind/common/error.hpp>
#include <redwingwind/common/hash.hpp>
#include <redwingwind/common/json_text.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace redwingwind::usage {
namespace {

constexpr std::size_t max_links = 100;

nlohmann::json to_json(const usage_row& row) {
    return nlohmann::json::array(
        {row.node.name.value, row.node.life.value, row.owner.value,
         row.service.value, static_cast<int>(row.kind), row.is_executing_side,
         row.calls, row.rejected, row.slot_time_us, row.wasted_us, row.bytes});
}

usage_row row_from_json(const nlohmann::json& json) {
    usage_row row;
    row.node.name = {json.at(0).get<std::string>()};
    row.node.life = {json.at(1).get<std::uint64_t>()};
    row.owner = {json.at(2).get<std::string>()};
    row.service = {json.at(3).get<std::string>()};
    row.kind = static_cast<overload::importance>(json.at(4).get<int>());
    row.is_executing_side = json.at(5).get<bool>();
    row.calls = json.at(6).get<std::uint64_t>();
    row.rejected = json.at(7).get<std::uint64_t>();
    row.slot_time_us = json.at(8).get<std::uint64_t>();
    row.wasted_us = json.at(9).get<std::uint64_t>();
    row.bytes = json.at(10).get<std::uint64_t>();
    return row;
}

nlohmann::json rows_to_json(const roll_up& content) {
    auto rows = nlohmann::json::array();
    for (const auto& row : content.rows())
        rows.push_back(to_json(row));
    return rows;
}

std::string hash_of(const chain_link& link) {
    const nlohmann::json fields{link.number, link.time_us, link.rows_hash,
                                link.previous_hash};
    return sha256_hex(fields.dump());
}

} // namespace

void roll_up::merge(const usage_row& row) {
    auto& known = rows_[{row.node, row.owner, row.service, row.kind,
                         row.is_executing_side}];
    auto merged = row;
    merged.calls = std::max(row.calls, known.calls);
    merged.rejected = std::max(row.rejected, known.rejected);
    merged.slot_time_us = std::max(row.slot_time_us, known.slot_time_us);
    merged.wasted_us = std::max(row.wasted_us, known.wasted_us);
    merged.bytes = std::max(row.bytes, known.bytes);
    known = merged;
}

void roll_up::merge(const roll_up& other) {
    for (const auto& [k, row] : other.rows_)
        merge(row);
}

std::vector<usage_row> roll_up::rows() const {
    std::vector<usage_row> all;
    for (const auto& [k, row] : rows_)
        all.push_back(row);
    return all;
}

usage_document extend(const usage_document& current, const roll_up& more,
                      std::uint64_t time_us) {
    usage_document next = current;
    next.content.merge(more);
    chain_link link;
    if (!next.chain.empty()) {
        link.number = next.chain.back().number + 1;
        link.previous_hash = next.chain.back().hash;
    }
    link.time_us = time_us;
    link.rows_hash = sha256_hex(rows_to_json(next.content).dump());
    link.hash = hash_of(link);
    next.chain.push_back(link);
    if (next.chain.size() > max_links)
        next.chain.erase(next.chain.begin());
    return next;
}

absl::Status verify(const usage_document& document) {
    const auto& chain = document.chain;
    for (std::size_t n = 0; n < chain.size(); ++n) {
        const bool is_linked =
            n == 0 || chain[n].previous_hash == chain[n - 1].hash;
        if (!is_linked || chain[n].hash != hash_of(chain[n]))
            return make_error(error_code::conflict,
                              absl::StrCat("usage chain: link ",
                                           chain[n].number, " was altered"));
    }
    const auto rows_hash = sha256_hex(rows_to_json(document.content).dump());
    if (chain.empty() || chain.back().rows_hash != rows_hash)
        return make_error(error_code::conflict,
                          "usage rows do not match their hash");
    return absl::OkStatus();
}

std::string to_text(const usage_document& document) {
    auto chain = nlohmann::json::array();
    for (const auto& it : document.chain)
        chain.push_back(
            {it.number, it.time_us, it.rows_hash, it.previous_hash, it.hash});
    return nlohmann::json{{"rows", rows_to_json(document.content)},
                          {"chain", chain}}
        .dump();
}

absl::StatusOr<usage_document> parse_usage(const std::string& text) {
    try {
        const auto json = read_json(text);
        usage_document document;
        for (const auto& it : json.at("rows"))
            document.content.merge(row_from_json(it));
        for (const auto& it : json.at("chain"))
            document.chain.push_back(
                {it.at(0).get<std::uint64_t>(), it.at(1).get<std::uint64_t>(),
                 it.at(2).get<std::string>(), it.at(3).get<std::string>(),
                 it.at(4).get<std::string>()});
        return document;
    } catch (const nlohmann::json::exception& e) {
        return make_error(error_code::bad_input,
                          absl::StrCat("usage: ", e.what()));
    }
}

} // namespace redwingwind::usage
