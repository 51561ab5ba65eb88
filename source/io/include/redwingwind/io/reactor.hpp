#pragma once

#include <redwingwind/common/time.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace redwingwind::io {

class reactor_impl;
class descriptor_handler;

/// Calls back when a descriptor is ready. Destroying or resetting the watch
/// ends the callbacks; it does not close the descriptor.
class descriptor_watch {
  public:
    using callback = std::function<void(bool can_read, bool can_write)>;

    descriptor_watch() = default;
    descriptor_watch(reactor_impl* owner, int fd, callback on_ready);
    descriptor_watch(descriptor_watch&& other) noexcept;
    descriptor_watch& operator=(descriptor_watch&& other) noexcept;
    descriptor_watch(const descriptor_watch&) = delete;
    descriptor_watch& operator=(const descriptor_watch&) = delete;
    ~descriptor_watch();

    /// Selects the readiness that is reported; at first none is.
    void set_interest(bool read, bool write);
    /// Ends the watch; also allowed from inside its callback.
    void reset();

  private:
    descriptor_handler* handler_{};
};

/// A single-threaded event loop on top of an ACE reactor. ACE's epoll reactor
/// handles one event per wait and re-arms the descriptor afterwards.
/// Descriptors are therefore registered with an epoll set of this class, which
/// ACE watches as one descriptor, so that one wait returns all that are ready.
class reactor {
  public:
    using timer_id = std::uint64_t;

    /// Timers follow the given clock, never the time of day, which may be set
    /// back. Throws std::runtime_error when no descriptor can be opened.
    explicit reactor(clock_hook now = steady_now);
    ~reactor();
    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

    descriptor_watch watch(int fd, descriptor_watch::callback on_ready);

    /// Calls back once, after the delay. The returned id is never 0.
    timer_id after(duration delay, std::function<void()> callback);
    /// Does nothing when the timer has run or does not exist.
    void cancel(timer_id id);

    /// Calls back once before the loop waits again, so that the work of several
    /// events can be batched.
    void defer(std::function<void()> callback);

    /// Calls back when the process did not run for a second or more (suspended,
    /// stopped or blocked), with the length of that pause and before any other
    /// callback. Data that arrived meanwhile is read before timers run.
    void on_pause(std::function<void(duration)> callback);
    /// The length of such a pause while events are handled that may have been
    /// waiting during it; otherwise zero.
    duration current_pause() const;

    /// Calls back from the loop on SIGTERM and SIGINT.
    void on_stop_signal(std::function<void()> callback);

    /// Calls back from the loop on SIGHUP.
    void on_reload_signal(std::function<void()> callback);

    /// Runs until stop() is called.
    void run();
    /// Runs until the condition holds or the timeout has elapsed; returns
    /// whether the condition holds. Does not return early on stop().
    bool run_until(const std::function<bool()>& condition, duration timeout);
    /// Lets run() return after the current iteration.
    void stop();

  private:
    std::unique_ptr<reactor_impl> impl_;
};

} // namespace redwingwind::io
