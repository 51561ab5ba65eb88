#include <redwingwind/common/log.hpp>

#include <redwingwind/common/line_output.hpp>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

#include <array>
#include <utility>

namespace redwingwind {
namespace {

constexpr std::array<const char*, 8> channel_names{
    "node",          "call",  "peer",  "membership",
    "configuration", "usage", "store", "http"};

const log4cxx::LoggerPtr& logger_of(log_channel channel) {
    static const std::array<log4cxx::LoggerPtr, 8> loggers = [] {
        std::array<log4cxx::LoggerPtr, 8> all;
        for (std::size_t n = 0; n < all.size(); ++n)
            all[n] = log4cxx::Logger::getLogger(channel_names[n]);
        return all;
    }();
    return loggers[static_cast<std::size_t>(channel)];
}

log4cxx::LevelPtr level_of(log_level level) {
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    case log_level::info:
        break;
    }
    return log4cxx::Level::getInfo();
}

/// Writes events through a line_output, because log4cxx's own console
/// appender blocks when nobody reads its output.
class line_appender : public log4cxx::AppenderSkeleton {
  public:
    line_appender(log4cxx::LayoutPtr layout, int fd)
        : layout_(std::move(layout)), out_(fd) {}

    void close() override {}
    bool requiresLayout() const override { return false; }

  protected:
    void append(const log4cxx::spi::LoggingEventPtr& event,
                log4cxx::helpers::Pool& pool) override {
        log4cxx::LogString line;
        layout_->format(line, event, pool);
        out_.write(line);
    }

  private:
    log4cxx::LayoutPtr layout_;
    line_output out_;
};

} // namespace

void start_logging(const std::string& level, log_output output) {
    // The message holds the members of the event's JSON object; the layout
    // adds time, level and channel.
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        R"({"time":"%d{yyyy-MM-ddTHH:mm:ss.SSS}","level":"%p","channel":"%c",%m})");
    const auto appender = std::make_shared<line_appender>(
        layout,
        output == log_output::standard_output ? STDOUT_FILENO : STDERR_FILENO);
    const auto root = log4cxx::Logger::getRootLogger();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void log_event(log_channel channel, log_level level, const std::string& event,
               const nlohmann::json& fields) {
    const auto& logger = logger_of(channel);
    const auto severity = level_of(level);
    if (!logger->isEnabledFor(severity))
        return;
    nlohmann::json line = fields;
    line["event"] = event;
    const auto text =
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    logger->forcedLog(severity, text.substr(1, text.size() - 2));
}

} // namespace redwingwind
