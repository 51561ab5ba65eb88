#pragma once

#include <redwingwind/common/identifiers.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace redwingwind::coordination {

/// An IP address with a port that is used for both TCP and UDP.
struct address {
    std::string ip;
    std::uint16_t port{};

    auto operator<=>(const address&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(ip, port);
    }
};

std::string to_string(const address& a);

/// Parses "IP:PORT". Returns port 0 when the text is malformed.
address parse_address(const std::string& text);

enum class member_state : std::uint8_t { alive, suspect, dead, left };
/// Draining is what the target announced itself; while its node alone stops, it
/// is stopping.
enum class target_state : std::uint8_t { absent, ready, draining, stopping };

std::string to_string(member_state state);
std::string to_string(target_state state);

/// One node's entry in the membership view. Only the node itself increments
/// the version; other nodes change only the state.
struct member_record {
    node_incarnation id;
    std::uint32_t version{};
    member_state state{member_state::alive};
    address endpoint;
    region_name region;
    failure_domain_name domain;
    service_name service;
    std::uint32_t slots{};
    target_state target{target_state::absent};

    auto operator<=>(const member_record&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(id, version, state, endpoint, region, domain, service, slots,
           target);
    }
};

/// Returns whether a replaces b, another record of the same node. A later
/// incarnation wins, then `left`, which is final within an incarnation, then
/// the higher version, then the later state in the order of member_state.
bool supersedes(const member_record& a, const member_record& b);

constexpr bool is_gone(member_state state) {
    return state == member_state::dead || state == member_state::left;
}

} // namespace redwingwind::coordination
