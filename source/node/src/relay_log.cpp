#include "relay_log.hpp"

namespace redwingwind::node {

bool relay_log::may_write(time_point now, bool is_refusal) {
    if (now - second_ >= std::chrono::seconds(1)) {
        if (left_out_ > 0)
            log_event(log_channel::call, log_level::info, "lines_left_out",
                      {{"node", self_.value}, {"count", left_out_}});
        second_ = now;
        written_ = 0;
        left_out_ = 0;
    }
    if (written_ < (is_refusal ? most_refusal_lines : most_lines)) {
        ++written_;
        return true;
    }
    ++left_out_;
    ++all_left_out_;
    return false;
}

std::string relay_log::id_of(const relay::call_event& event) {
    return event.id.value.substr(0, most_id_bytes);
}

void relay_log::call(time_point now, const relay::call_event& event) {
    if (!may_write(now, event.name == "turned_away"))
        return;
    nlohmann::json fields{{"node", self_.value},
                          {"request_id", id_of(event)},
                          {"why", std::string(to_string(event.error))},
                          {"service", event.service.value},
                          {"peer", event.peer.value},
                          {"nested", event.is_nested},
                          {"time_left_ms", event.time_left_ms}};
    if (event.is_at_target) {
        fields["beside"] = "target";
        fields["running"] = event.load.running;
        fields["queued"] = event.load.queued;
        fields["limit"] = event.load.limit;
        if (event.load.relative_service_time != 0)
            fields["relative_service_time"] =
                event.load.relative_service_time / 100.0;
        if (event.connection.number != 0) {
            fields["connection"] = event.connection.number;
            fields["kept"] = event.connection.was_reused;
            fields["skipped"] = event.connection.skipped_responses;
            fields["took_ms"] = milliseconds(event.service_time);
        }
    } else {
        fields["beside"] = "caller";
        fields["version"] = event.policy_version;
        fields["attempt"] = event.attempt;
        fields["refusals"] = event.refusals;
        fields["strain"] = event.offered_load;
    }
    log_event(log_channel::call, log_level::info, std::string(event.name),
              fields);
}

} // namespace redwingwind::node
