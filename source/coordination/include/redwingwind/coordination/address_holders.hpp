#pragma once

#include <redwingwind/coordination/member.hpp>

#include <map>
#include <optional>
#include <vector>

namespace redwingwind::coordination {

/// Tells which of the nodes that were heard of at an address is there now, as a
/// restarted node has another name. Of those alive it is the one heard of last.
/// One that is suspected gives way to one alive: it does not answer there, and
/// what is said about it says nothing about the other.
class address_holders {
  public:
    struct change {
        /// The node that was there; empty if there was none.
        std::optional<node_name> before;
        std::optional<node_name> now;

        auto operator<=>(const change&) const = default;
    };

    /// Takes the latest record of a node.
    change update(const member_record& record);

    /// The other nodes known at the address that are not gone.
    std::vector<node_name> others_at(const address& at,
                                     const node_name& node) const;

  private:
    struct known_node {
        node_name name;
        bool is_suspect{};
    };
    /// The nodes at one address, in the order in which they were heard of.
    using known_nodes = std::vector<known_node>;

    static std::optional<node_name> holder_of(const known_nodes& nodes);

    std::map<address, known_nodes> at_;
};

} // namespace redwingwind::coordination
