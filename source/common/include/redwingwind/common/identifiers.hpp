#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace redwingwind {

/// A string with a distinct type for each Tag, so that different kinds of
/// names cannot be mixed up.
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

/// Identifies one run of a node's process: the wall clock at its start, in
/// microseconds since 1970. A later run of the same node has a larger value.
struct incarnation {
    std::uint64_t value{};

    auto operator<=>(const incarnation&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(value);
    }
};

/// One run of a node's process: the node's name and its incarnation.
struct node_incarnation {
    node_name name;
    incarnation life;

    auto operator<=>(const node_incarnation&) const = default;

    template <class Archive>
    void serialize(Archive& ar) {
        ar(name, life);
    }
};

/// True when the text is a valid name: 1 to 64 ASCII letters, digits, '-',
/// '_', '.' and ':'.
bool is_valid_name(const std::string& text);

} // namespace redwingwind

template <class Tag>
struct std::hash<redwingwind::name_of<Tag>> {
    std::size_t operator()(const redwingwind::name_of<Tag>& name) const {
        return std::hash<std::string>{}(name.value);
    }
};
