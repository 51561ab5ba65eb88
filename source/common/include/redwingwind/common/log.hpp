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

enum class log_output : std::uint8_t { standard_error, standard_output };

/// Sends one JSON object a line to the output, without waiting for its
/// reader: see line_output. The level is one of debug,
/// info, warn and error; anything else counts as info.
void start_logging(const std::string& level,
                   log_output output = log_output::standard_error);

/// Writes one event. Fields are a JSON object, request_id among them where
/// there is a request.
void log_event(log_channel channel, log_level level, const std::string& event,
               const nlohmann::json& fields = nlohmann::json::object());

} // namespace redwingwind
