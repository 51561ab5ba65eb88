#include <redwingwind/common/log.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>

#include <malloc.h>

#include "node_daemon.hpp"
#include "node_settings.hpp"
#include "relay_daemon.hpp"

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_failed = 1;

int run_relay() {
    using namespace redwingwind;
    auto settings = node::read_relay_settings();
    if (!settings.ok()) {
        std::cerr << "redwingwind-node: " << settings.status().message()
                  << "\n";
        return exit_bad_settings;
    }
    start_logging(settings->log_level, log_output::standard_output);
    try {
        node::relay_daemon daemon(*std::move(settings));
        daemon.run();
    } catch (const std::exception& e) {
        log_event(log_channel::node, log_level::error, "failed",
                  {{"why", e.what()}});
        return exit_failed;
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    using namespace redwingwind;
    // By default the threshold grows with each large buffer freed, and the
    // buffers below it stay with the process.
    constexpr int mapped_bytes = 128 << 10;
    mallopt(M_MMAP_THRESHOLD, mapped_bytes);
    mallopt(M_TRIM_THRESHOLD, mapped_bytes);
    auto settings = node::read_node_settings(argc, argv);
    if (!settings.ok()) {
        std::cerr << "redwingwind-node: " << settings.status().message()
                  << "\n";
        return exit_bad_settings;
    }
    if (settings->is_check_only) {
        std::cout << "settings are good\n";
        return EXIT_SUCCESS;
    }
    if (node::is_relay_configured())
        return run_relay();
    start_logging(settings->log_level);
    try {
        node::node_daemon daemon(*std::move(settings));
        daemon.run();
    } catch (const std::exception& e) {
        log_event(log_channel::node, log_level::error, "failed",
                  {{"why", e.what()}});
        return exit_failed;
    }
    return EXIT_SUCCESS;
}
