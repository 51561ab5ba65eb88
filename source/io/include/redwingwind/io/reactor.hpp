#pragma once

#include <redwingwind/common/time.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace redwingwind::io {

class reactor_impl;
class descriptor_handler;

/// Calls back when a descriptor is ready, as long as this object lives.
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

    /// Which readiness is of interest.
    void set_interest(bool read, bool write);
    void reset();

  private:
    descriptor_handler* handler_{};
};

/// One thread's event loop over an ACE reactor. ACE's epoll reactor takes one
/// event for each wait and arms its descriptor again after it, so descriptors
/// are kept in an epoll set of this class, which ACE watches as a whole: one
/// wait then yields all that is ready.
class reactor {
  public:
    using timer_id = std::uint64_t;

    /// Timers follow the clock given, never the time of day. Throws
    /// std::runtime_error when the system refuses a descriptor.
    explicit reactor(clock_hook now = steady_now);
    ~reactor();
    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

    descriptor_watch watch(int fd, descriptor_watch::callback on_ready);

    /// Calls once, after the delay. Ids are never 0.
    timer_id after(duration delay, std::function<void()> callback);
    void cancel(timer_id id);

    /// Calls once before the loop waits again, so that work of many events
    /// can be done together.
    void defer(std::function<void()> callback);

    /// Calls when the process was suspended, stopped or held up for a second
    /// or more, with that time, before anything else is done. What came over
    /// connections meanwhile is read before timers are run.
    void on_pause(std::function<void(duration)> callback);
    /// While events are handled that may have waited during such a pause, how
    /// long it was; else zero.
    duration current_pause() const;

    /// Calls on SIGTERM and SIGINT, from the loop.
    void on_stop_signal(std::function<void()> callback);

    /// Calls on SIGHUP, from the loop.
    void on_reload_signal(std::function<void()> callback);

    void run();
    /// Runs until the condition holds or the time is over; returns whether
    /// it holds.
    bool run_until(const std::function<bool()>& condition, duration limit);
    void stop();

  private:
    std::unique_ptr<reactor_impl> impl_;
};

} // namespace redwingwind::io
