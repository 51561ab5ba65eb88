#pragma once

#include <redwingwind/common/settings.hpp>
#include <redwingwind/io/http.hpp>
#include <redwingwind/io/reactor.hpp>

#include <nlohmann/json.hpp>

#include <iostream>
#include <string>
#include <vector>

namespace redwingwind::stand_in {

/// Reads flags; false, with a message, when they are wrong.
inline bool read_flags(int argc, char** argv) {
    std::vector<std::string> rest;
    const auto status = read_settings(argc, argv, {}, rest);
    if (!status.ok())
        std::cerr << argv[0] << ": " << status.message() << "\n";
    return status.ok();
}

/// A JSON body as an object; an empty one when it is none.
inline nlohmann::json body_of(const http_request& request) {
    auto json = nlohmann::json::parse(request.body, nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

} // namespace redwingwind::stand_in
