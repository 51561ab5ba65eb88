#pragma once

#include <redwingwind/coordination/member.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace redwingwind::coordination {

/// A target told the node beside it that it leaves, which is final for that
/// life of the target. It says nothing about a life that started later, nor
/// about another instance.
struct target_departure {
    std::string instance;
    /// Lives of the instance that started by then have ended, in milliseconds
    /// since 1970.
    std::uint64_t started_ms{};
    /// The life of the node that was told.
    node_name reporter;
    /// That node's address; whatever life of a node is there must know.
    address endpoint;

    auto operator<=>(const target_departure&) const = default;
};

/// A departure as the record of a node that left. Nodes of every version keep
/// such a record, pass it on, and tell the node at its address of it. Of the
/// reporter's record, the places are copied.
member_record to_record(const target_departure& departure,
                        const member_record& reporter);

/// The departure that the record stands for; nullopt for a node's own record.
std::optional<target_departure> departure_of(const member_record& record);

} // namespace redwingwind::coordination
