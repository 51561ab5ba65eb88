#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace redwingwind {

/// The subsystem that an event belongs to; each has its own log channel.
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

/// Starts logging to the output, one JSON object per line. Writing never
/// blocks; lines that the output cannot take are lost (see line_output). The
/// level is the lowest one that is written: debug, info, warn or error; an
/// unknown level counts as info.
void start_logging(const std::string& level,
                   log_output output = log_output::standard_error);

/// Writes one event. The fields are a JSON object; an event about a request
/// includes its request_id.
void log_event(log_channel channel, log_level level, const std::string& event,
               const nlohmann::json& fields = nlohmann::json::object());

} // namespace redwingwind
