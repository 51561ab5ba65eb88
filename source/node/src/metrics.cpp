#include "metrics.hpp"

#include <absl/strings/str_cat.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace redwingwind::node {
namespace {

void add_numbers(prometheus::Registry& registry, const std::string& name,
                 const nlohmann::json& value) {
    if (value.is_object()) {
        for (const auto& [field, below] : value.items())
            add_numbers(registry, absl::StrCat(name, "_", field), below);
        return;
    }
    if (!value.is_number())
        return;
    // Names of services may hold characters that metric names may not.
    std::string safe = name;
    for (auto& c : safe)
        if (std::isalnum(static_cast<unsigned char>(c)) == 0)
            c = '_';
    prometheus::BuildGauge()
        .Name(safe)
        .Help("see the field of /status")
        .Register(registry)
        .Add({})
        .Set(value.get<double>());
}

} // namespace

std::string to_metrics_text(const nlohmann::json& status) {
    prometheus::Registry registry;
    add_numbers(registry, "redwingwind", status);
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace redwingwind::node
