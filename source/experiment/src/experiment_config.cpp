#include "experiment_config.hpp"

#include <redwingwind/common/error.hpp>

#include <nlohmann/json.hpp>

#include <fstream>

namespace redwingwind::experiment {
namespace {

duration seconds_field(const nlohmann::json& json, const char* field) {
    return duration(
        static_cast<duration::rep>(json.at(field).get<double>() * 1e6));
}

duration ms_field(const nlohmann::json& json, const char* field,
                  std::int64_t usual) {
    return std::chrono::milliseconds(json.value(field, usual));
}

/// Reads a JSON file and turns it into a value; all errors become a status.
template <class Value, class Parse>
absl::StatusOr<Value> read_json(const std::string& file, Parse parse) {
    std::ifstream in(file);
    if (!in)
        return make_error(error_code::not_found, "can't read " + file);
    try {
        return parse(nlohmann::json::parse(in, nullptr, true, true));
    } catch (const nlohmann::json::exception& e) {
        return make_error(error_code::bad_input, file + ": " + e.what());
    }
}

mix_entry parse_mix(const nlohmann::json& json) {
    mix_entry it;
    it.service = json.at("service").get<std::string>();
    it.path = json.at("path").get<std::string>();
    it.importance = json.at("class").get<std::string>();
    it.owner = json.at("owner").get<std::string>();
    it.weight = json.at("weight").get<double>();
    it.deadline = ms_field(json, "deadline_ms", 1000);
    it.once = json.value("once", false);
    return it;
}

} // namespace

absl::StatusOr<experiment_config> read_config(const std::string& file) {
    return read_json<experiment_config>(file, [](const nlohmann::json& json) {
        experiment_config config;
        config.name = json.at("name").get<std::string>();
        config.base_rps = json.at("base_rps").get<double>();
        const auto& phases = json.at("phases");
        config.phases = {
            seconds_field(phases, "warm_s"), seconds_field(phases, "steady_s"),
            seconds_field(phases, "surge_s"), seconds_field(phases, "calm_s")};
        config.resends = json.at("resends").get<std::uint32_t>();
        config.resend_pause = ms_field(json, "resend_pause_ms", 100);
        config.patience = ms_field(json, "patience_ms", 2500);
        for (const auto& it : json.at("mix"))
            config.mix.push_back(parse_mix(it));
        config.ping_service = json.at("ping").at("service").get<std::string>();
        config.ping_path = json.at("ping").at("path").get<std::string>();
        return config;
    });
}

absl::StatusOr<std::map<std::string, deployment>>
read_deployments(const std::string& file) {
    using result = std::map<std::string, deployment>;
    return read_json<result>(file, [](const nlohmann::json& json) {
        result all;
        for (const auto& [mode, it] : json.items()) {
            deployment d;
            d.callers = it.at("callers").get<std::vector<std::string>>();
            d.nodes = it.at("nodes").get<std::vector<std::string>>();
            for (const auto& t : it.at("targets"))
                d.targets.push_back({t.at("service").get<std::string>(),
                                     t.at("url").get<std::string>()});
            all.emplace(mode, d);
        }
        return all;
    });
}

} // namespace redwingwind::experiment
