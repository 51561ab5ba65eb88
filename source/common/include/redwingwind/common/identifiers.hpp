#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace redwingwind {

/// A string that cannot be mixed up with another kind of string.
template <class Tag>
struct name_of {
    std::string value;

    auto operator<=>(const name_of&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(value);
    }
};

using node_name = name_of<struct node_name_tag>;
using service_name = name_of<struct service_name_tag>;
using owner_name = name_of<struct owner_name_tag>;
using graph_name = name_of<struct graph_name_tag>;
using request_id = name_of<struct request_id_tag>;
using region_name = name_of<struct region_name_tag>;
using failure_domain_name = name_of<struct failure_domain_name_tag>;

/// One life of a node. A later life of the same node has a larger value; it
/// is the wall clock at the start, in microseconds since 1970.
struct incarnation {
    std::uint64_t value{};

    auto operator<=>(const incarnation&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(value);
    }
};

/// A node in one of its lives.
struct node_incarnation {
    node_name name;
    incarnation life;

    auto operator<=>(const node_incarnation&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(name, life);
    }
};

/// True when the text can be a name: 1 to 64 characters out of letters,
/// digits, '-', '_', '.' and ':'.
bool is_valid_name(const std::string& text);

} // namespace redwingwind

template <class Tag>
struct std::hash<redwingwind::name_of<Tag>> {
    std::size_t operator()(const redwingwind::name_of<Tag>& name) const {
        return std::hash<std::string>{}(name.value);
    }
};
