#include "failure.hpp"

#include <redwingwind/common/error.hpp>

#include <iostream>

namespace redwingwind::ctl {
namespace {

std::string advice(const absl::Status& status) {
    switch (code_of(status)) {
    case error_code::store_unavailable:
        return "Is --store (RWW_STORE) right, and the store up? Nothing is "
               "half-applied: run the command again.";
    case error_code::unreachable:
        return "Is --node (RWW_NODE) the local port of a running node?";
    case error_code::conflict:
        return "Look at it with 'show', then apply again.";
    default:
        return {};
    }
}

} // namespace

exit_code code_for(const absl::Status& status) {
    switch (code_of(status)) {
    case error_code::none:
        return exit_code::ok;
    case error_code::bad_input:
    case error_code::too_large:
        return exit_code::bad_input;
    case error_code::conflict:
        return exit_code::conflict;
    case error_code::not_found:
        return exit_code::not_found;
    default:
        return exit_code::failed;
    }
}

exit_code fail(const absl::Status& status) {
    std::cerr << "redwingwindctl: " << std::string(to_string(code_of(status)))
              << ": " << status.message() << "\n";
    if (const auto text = advice(status); !text.empty())
        std::cerr << text << "\n";
    return code_for(status);
}

exit_code bad_words(const std::string& text) {
    return fail(make_error(error_code::bad_input, text));
}

} // namespace redwingwind::ctl
