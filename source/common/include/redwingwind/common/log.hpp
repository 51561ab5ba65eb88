#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace redwingwind {

/// Each subsystem writes to a channel of its own.
enum class log_channel : std::uint8_t {
    node,
    call,
    peer,
    membership,
    configuration,
    usage,
    store,
    http
};

enum class log_level : std::uint8_t { debug, info, warn, error };

/// Sends one JSON object a line to standard error. The level is one of
/// debug, info, warn and error; anything else counts as info.
void start_logging(const std::string& level);

/// Writes one event. Fields are a JSON object, request_id among them where
/// there is a request.
void log_event(log_channel channel, log_level level, const std::string& event,
               const nlohmann::json& fields = nlohmann::json::object());

} // namespace redwingwind
