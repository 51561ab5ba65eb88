#include <redwingwind/common/settings.hpp>

#include <absl/flags/commandlineflag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <redwingwind/common/error.hpp>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <istream>
#include <unistd.h>

namespace redwingwind {
namespace {

constexpr absl::string_view prefix = "RWW_";

absl::Status apply_variable(absl::string_view entry) {
    const auto equals = entry.find('=');
    const auto name = entry.substr(0, equals);
    const auto value = entry.substr(equals + 1);
    const auto key = absl::AsciiStrToLower(name.substr(prefix.size()));
    auto* flag = absl::FindCommandLineFlag(key);
    if (flag == nullptr || flag->IsRetired())
        return make_error(error_code::bad_input,
                          absl::StrCat("unknown environment variable ", name,
                                       "; --help lists all settings"));
    std::string error;
    if (!flag->ParseFrom(value, &error))
        return make_error(error_code::bad_input,
                          absl::StrCat(name, "=", value, ": ", error));
    return absl::OkStatus();
}

absl::Status apply_environment() {
    for (char** it = environ; *it != nullptr; ++it) {
        const absl::string_view entry(*it);
        if (entry.substr(0, prefix.size()) != prefix)
            continue;
        if (auto status = apply_variable(entry); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

void use_underscores(char* argument) {
    if (std::strncmp(argument, "--", 2) != 0)
        return;
    for (char* it = argument + 2; *it != '\0' && *it != '='; ++it)
        if (*it == '-')
            *it = '_';
}

absl::Status check_range(const setting_range& range) {
    auto* flag = absl::FindCommandLineFlag(range.flag);
    if (flag == nullptr)
        return make_error(error_code::internal, range.flag);
    const auto value = std::stoll(flag->CurrentValue());
    if (value >= range.min && value <= range.max)
        return absl::OkStatus();
    return make_error(error_code::bad_input,
                      absl::StrCat("--", range.flag, "=", value,
                                   ": allowed range is ", range.min, " to ",
                                   range.max));
}

} // namespace

absl::Status read_settings(int argc, char** argv,
                           const std::vector<setting_range>& ranges,
                           std::vector<std::string>& positional_arguments) {
    if (auto status = apply_environment(); !status.ok())
        return status;
    std::for_each(argv + 1, argv + argc, use_underscores);
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return "redwingwind " RWW_VERSION "\n"; };
    absl::SetFlagsUsageConfig(usage);
    const auto positional = absl::ParseCommandLine(argc, argv);
    positional_arguments.assign(positional.begin() + 1, positional.end());
    for (const auto& range : ranges)
        if (auto status = check_range(range); !status.ok())
            return status;
    return absl::OkStatus();
}

namespace {

struct previous_value {
    absl::CommandLineFlag* flag{};
    std::string text;
};

absl::Status apply_line(const std::string& line,
                        std::vector<previous_value>& previous) {
    const auto equals = line.find('=');
    if (line.substr(0, 2) != "--" || equals == std::string::npos)
        return make_error(error_code::bad_input,
                          absl::StrCat(line, ": expected --FLAG=VALUE"));
    auto* flag = absl::FindCommandLineFlag(line.substr(2, equals - 2));
    if (flag == nullptr)
        return make_error(error_code::bad_input,
                          absl::StrCat(line, ": unknown flag"));
    previous.push_back({flag, flag->CurrentValue()});
    std::string error;
    if (!flag->ParseFrom(line.substr(equals + 1), &error))
        return make_error(error_code::bad_input,
                          absl::StrCat(line, ": ", error));
    return absl::OkStatus();
}

absl::Status apply_file(std::istream& file,
                        const std::vector<setting_range>& ranges,
                        std::vector<previous_value>& previous) {
    std::string line;
    while (std::getline(file, line)) {
        if (line.empty() || line.front() == '#')
            continue;
        if (auto status = apply_line(line, previous); !status.ok())
            return status;
    }
    for (const auto& range : ranges)
        if (auto status = check_range(range); !status.ok())
            return status;
    return absl::OkStatus();
}

} // namespace

absl::Status reload_flags(const std::string& path,
                          const std::vector<setting_range>& ranges) {
    std::ifstream file(path);
    if (!file)
        return make_error(error_code::not_found, path);
    std::vector<previous_value> previous;
    auto status = apply_file(file, ranges, previous);
    if (status.ok())
        return status;
    std::string error;
    for (auto it = previous.rbegin(); it != previous.rend(); ++it)
        it->flag->ParseFrom(it->text, &error);
    return status;
}

std::string flag_file() {
    const auto* flag = absl::FindCommandLineFlag("flagfile");
    return flag == nullptr ? std::string() : flag->CurrentValue();
}

} // namespace redwingwind
