#include <redwingwind/coordination/address_holders.hpp>

#include <algorithm>

namespace redwingwind::coordination {

std::optional<node_name> address_holders::holder_of(const known_nodes& nodes) {
    if (nodes.empty())
        return std::nullopt;
    const auto alive =
        std::find_if(nodes.rbegin(), nodes.rend(),
                     [](const known_node& it) { return !it.is_suspect; });
    return alive == nodes.rend() ? nodes.back().name : alive->name;
}

address_holders::change address_holders::update(const member_record& record) {
    auto& nodes = at_[record.endpoint];
    const auto before = holder_of(nodes);
    const auto known =
        std::find_if(nodes.begin(), nodes.end(), [&](const known_node& it) {
            return it.name == record.id.name;
        });
    const bool is_suspect = record.state == member_state::suspect;
    if (is_gone(record.state)) {
        if (known != nodes.end())
            nodes.erase(known);
    } else if (known != nodes.end()) {
        known->is_suspect = is_suspect;
    } else {
        nodes.push_back({record.id.name, is_suspect});
    }
    change result{before, holder_of(nodes)};
    if (nodes.empty())
        at_.erase(record.endpoint);
    return result;
}

std::vector<node_name> address_holders::others_at(const address& at,
                                                  const node_name& node) const {
    std::vector<node_name> names;
    const auto found = at_.find(at);
    if (found == at_.end())
        return names;
    for (const auto& it : found->second)
        if (it.name != node)
            names.push_back(it.name);
    return names;
}

} // namespace redwingwind::coordination
