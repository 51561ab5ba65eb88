#include "settings_file.hpp"

#include <system_error>
#include <utility>

namespace redwingwind::node {
namespace {

constexpr duration look_interval = std::chrono::seconds(1);

} // namespace

settings_file::settings_file(io::reactor& loop, std::string path,
                             std::function<void()> on_change)
    : loop_(loop), path_(std::move(path)), on_change_(std::move(on_change)) {
    if (!path_.empty())
        look();
}

settings_file::~settings_file() {
    loop_.cancel(timer_);
}

void settings_file::look() {
    std::error_code ec;
    const auto changed = std::filesystem::last_write_time(path_, ec);
    const bool is_first = changed_ == std::filesystem::file_time_type{};
    if (!ec && changed != changed_) {
        changed_ = changed;
        if (!is_first)
            on_change_();
    }
    timer_ = loop_.after(look_interval, [this] { look(); });
}

} // namespace redwingwind::node
