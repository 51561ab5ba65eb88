#include <redwingwind/coordination/member.hpp>

#include <absl/strings/numbers.h>

#include <arpa/inet.h>

#include <utility>

namespace redwingwind::coordination {
namespace {

constexpr std::uint32_t max_port = 65535;

} // namespace

std::string to_string(const address& a) {
    return a.ip + ":" + std::to_string(a.port);
}

address parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string::npos ||
        !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > max_port)
        return {};
    auto ip = text.substr(0, colon);
    // A name would be looked up where the address is used, which blocks.
    in_addr numeric{};
    if (inet_pton(AF_INET, ip.c_str(), &numeric) != 1)
        return {};
    return {std::move(ip), static_cast<std::uint16_t>(port)};
}

std::string to_string(member_state state) {
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    case member_state::left:
        break;
    }
    return "left";
}

std::string to_string(target_state state) {
    switch (state) {
    case target_state::absent:
        return "absent";
    case target_state::ready:
        return "ready";
    case target_state::draining:
        return "draining";
    case target_state::stopping:
        break;
    }
    return "stopping";
}

bool supersedes(const member_record& a, const member_record& b) {
    if (a.id.life != b.id.life)
        return a.id.life > b.id.life;
    if (b.state == member_state::left)
        return false;
    if (a.state == member_state::left)
        return true;
    if (a.version != b.version)
        return a.version > b.version;
    return a.state > b.state;
}

} // namespace redwingwind::coordination
