#include <redwingwind/common/settings.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <iostream>

#include "commands.hpp"

ABSL_FLAG(std::string, store, "http://127.0.0.1:7400",
          "URL of the platform's object API");
ABSL_FLAG(std::string, node, "http://127.0.0.1:7302",
          "URL of a node's local listener");
ABSL_FLAG(std::string, author, "", "Who makes the change; $USER when empty");
ABSL_FLAG(std::string, why, "not said", "Why the change is made");
ABSL_FLAG(bool, wait, false, "Wait until the change is in force everywhere");
ABSL_FLAG(std::int64_t, wait_ms, 5000, "How long to wait, in ms");
ABSL_FLAG(bool, dry_run, false, "Show what would change, and change nothing");
ABSL_FLAG(bool, json, false, "Print JSON");
ABSL_FLAG(std::string, against, "",
          "Configuration in force to compare with: a file, or 'store'");
ABSL_FLAG(bool, ask, false, "Ask the questionnaire on the terminal");

namespace {

std::string author() {
    if (!absl::GetFlag(FLAGS_author).empty())
        return absl::GetFlag(FLAGS_author);
    const char* user = std::getenv("USER");
    return user == nullptr || *user == '\0' ? "unknown" : user;
}

} // namespace

int main(int argc, char** argv) {
    using namespace redwingwind;
    absl::SetProgramUsageMessage(ctl::command_help());
    std::vector<std::string> words;
    const auto status =
        read_settings(argc, argv, {{"wait_ms", 0, 600000}}, words);
    if (!status.ok()) {
        std::cerr << "redwingwindctl: " << status.message() << "\n";
        return static_cast<int>(ctl::exit_code::bad_input);
    }
    const ctl::ctl_settings settings{absl::GetFlag(FLAGS_store),
                                     absl::GetFlag(FLAGS_node),
                                     author(),
                                     absl::GetFlag(FLAGS_why),
                                     absl::GetFlag(FLAGS_wait),
                                     absl::GetFlag(FLAGS_dry_run),
                                     absl::GetFlag(FLAGS_json),
                                     absl::GetFlag(FLAGS_ask),
                                     absl::GetFlag(FLAGS_wait_ms),
                                     absl::GetFlag(FLAGS_against)};
    return static_cast<int>(ctl::run_command(settings, words));
}
