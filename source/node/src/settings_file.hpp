#pragma once

#include <redwingwind/io/reactor.hpp>

#include <filesystem>
#include <functional>
#include <string>

namespace redwingwind::node {

/// Notices that the settings file has changed: it may do so without a signal.
class settings_file {
  public:
    /// The loop must outlive this; an empty path is never looked at.
    settings_file(io::reactor& loop, std::string path,
                  std::function<void()> on_change);
    ~settings_file();
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;

  private:
    void look();

    io::reactor& loop_;
    std::string path_;
    std::function<void()> on_change_;
    std::filesystem::file_time_type changed_{};
    io::reactor::timer_id timer_{};
};

} // namespace redwingwind::node
