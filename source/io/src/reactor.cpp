#include <redwingwind/io/reactor.hpp>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Reactor.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Sig_Handler.h>
#include <ace/Synch_Traits.h>
#include <ace/Time_Value.h>
#include <ace/Timer_Heap_T.h>

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace redwingwind::io {
namespace {

/// ACE watches only the epoll set, its own pipe and a few more descriptors, and
/// reserves memory for each possible one.
constexpr std::size_t max_ace_descriptors = 1024;
/// Ready descriptors handled after one epoll_wait.
constexpr int max_events_per_wait = 256;
/// ACE runs one due timer at a time and polls descriptors only when no timer is
/// due. Descriptors wait at most this long for timers.
constexpr duration max_poll_delay = std::chrono::milliseconds(5);

/// A timer that is overdue by this much shows that the process was paused.
constexpr duration min_pause = std::chrono::seconds(1);

ACE_Time_Value to_ace(duration d) {
    const auto n = std::max<duration::rep>(d.count(), 0);
    return ACE_Time_Value(static_cast<time_t>(n / 1000000),
                          static_cast<suseconds_t>(n % 1000000));
}

/// Lets ACE's timer queue follow the given clock: by default it follows the
/// time of day, which may be set back.
class clock_policy {
  public:
    explicit clock_policy(clock_hook now = steady_now) : now_(std::move(now)) {}

    ACE_Time_Value_T<clock_policy> operator()() const {
        return ACE_Time_Value_T<clock_policy>(
            to_ace(now_().time_since_epoch()));
    }
    /// ACE's older interface for choosing a clock; not used.
    void set_gettimeofday(ACE_Time_Value (*)()) {}

  private:
    clock_hook now_;
};

using timer_queue = ACE_Timer_Heap_T<ACE_Event_Handler*,
                                     ACE_Event_Handler_Handle_Timeout_Upcall,
                                     ACE_SYNCH_RECURSIVE_MUTEX, clock_policy>;

} // namespace

class timer_handler;
class descriptor_handler;

class reactor_impl : public ACE_Event_Handler {
  public:
    explicit reactor_impl(clock_hook now)
        : now_(std::move(now)),
          timer_queue_(nullptr, nullptr, clock_policy(now_)),
          dev_poll_(max_ace_descriptors, true, &signals_, &timer_queue_),
          ace_(&dev_poll_, false), epoll_fd_(::epoll_create1(EPOLL_CLOEXEC)) {
        // A write to a connection that the peer has closed must fail with EPIPE
        // instead of ending the process.
        std::signal(SIGPIPE, SIG_IGN);
        if (epoll_fd_ < 0 || !dev_poll_.initialized())
            throw std::runtime_error(
                "can't open descriptors for the event loop");
        ace_.register_handler(this, READ_MASK);
    }

    ~reactor_impl() override {
        ace_.remove_handler(this, READ_MASK | DONT_CALL);
        ::close(epoll_fd_);
    }
    reactor_impl(const reactor_impl&) = delete;
    reactor_impl& operator=(const reactor_impl&) = delete;

    ACE_HANDLE get_handle() const override { return epoll_fd_; }
    int handle_input(ACE_HANDLE) override;
    void run_deferred();
    /// One iteration of the loop: waits for an event, without a timeout when
    /// wait is null, and then runs the deferred callbacks.
    void run_once(ACE_Time_Value* wait);
    /// Deletes the handler, while events are dispatched after the last one.
    void retire(descriptor_handler* handler);
    /// Detects a pause of the process from a timer that was due at this time.
    void detect_pause(time_point due);

    // Declared before signals_: ACE_Sig_Handler's destructor still accesses
    // its handlers.
    std::unique_ptr<ACE_Event_Handler> stop_handler_;
    std::unique_ptr<ACE_Event_Handler> reload_handler_;
    ACE_Sig_Handler signals_;
    clock_hook now_;
    timer_queue timer_queue_;
    ACE_Dev_Poll_Reactor dev_poll_;
    ACE_Reactor ace_;
    int epoll_fd_;
    std::unordered_map<reactor::timer_id, timer_handler*> timers_;
    std::vector<std::function<void()>> deferred_callbacks_;
    /// Handlers of closed watches, which events of the same wait may still
    /// refer to.
    std::vector<std::unique_ptr<descriptor_handler>> retired_handlers_;
    reactor::timer_id next_timer_id_{1};
    time_point last_poll_{};
    std::function<void(duration)> on_pause_;
    duration pause_{};
    /// When the last pause was detected.
    time_point last_resume_{};
    bool is_stopped_{};
    bool is_dispatching_{};
};

class descriptor_handler {
  public:
    descriptor_handler(reactor_impl* owner, int fd,
                       descriptor_watch::callback on_ready)
        : owner_(owner), fd_(fd), on_ready_(std::move(on_ready)) {}

    void set_interest(bool read, bool write) {
        const std::uint32_t events = (read ? std::uint32_t{EPOLLIN} : 0) |
                                     (write ? std::uint32_t{EPOLLOUT} : 0);
        if (events == events_)
            return;
        const int operation = events_ == 0  ? EPOLL_CTL_ADD
                              : events == 0 ? EPOLL_CTL_DEL
                                            : EPOLL_CTL_MOD;
        epoll_event change{};
        change.events = events;
        change.data.ptr = this;
        ::epoll_ctl(owner_->epoll_fd_, operation, fd_, &change);
        events_ = events;
    }

    void close() {
        set_interest(false, false);
        is_closed_ = true;
        owner_->retire(this);
    }

    void dispatch(std::uint32_t events) {
        if (is_closed_)
            return;
        // The callback may close this watch; the handler is then deleted after
        // the events of this wait. An error is reported as readiness, because
        // the next read or write returns it.
        const bool has_error = (events & (EPOLLERR | EPOLLHUP)) != 0;
        const bool can_read = (events & EPOLLIN) != 0;
        const bool can_write = (events & EPOLLOUT) != 0;
        on_ready_(can_read || (has_error && (events_ & EPOLLIN) != 0),
                  can_write || (has_error && (events_ & EPOLLOUT) != 0));
    }

  private:
    reactor_impl* owner_;
    int fd_;
    descriptor_watch::callback on_ready_;
    std::uint32_t events_{};
    bool is_closed_{};
};

void reactor_impl::detect_pause(time_point due) {
    // One pause delays many timers and must be reported once.
    const auto now = now_();
    const auto lateness = now - std::max(due, last_resume_);
    if (lateness < min_pause)
        return;
    last_resume_ = now;
    pause_ = lateness;
    if (on_pause_)
        on_pause_(lateness);
}

int reactor_impl::handle_input(ACE_HANDLE) {
    if (!timer_queue_.is_empty()) {
        const auto& due = timer_queue_.earliest_time();
        detect_pause(time_point(std::chrono::seconds(due.sec()) +
                                std::chrono::microseconds(due.usec())));
    }
    std::array<epoll_event, max_events_per_wait> ready;
    const int n = ::epoll_wait(epoll_fd_, ready.data(), max_events_per_wait, 0);
    last_poll_ = now_();
    is_dispatching_ = true;
    for (int it = 0; it < n; ++it) {
        const auto& event = ready[static_cast<std::size_t>(it)];
        static_cast<descriptor_handler*>(event.data.ptr)
            ->dispatch(event.events);
    }
    is_dispatching_ = false;
    retired_handlers_.clear();
    // All events that waited during the pause are handled. Overdue timers
    // run next and do not count as another pause, see last_resume_.
    if (n < max_events_per_wait)
        pause_ = duration::zero();
    return 0;
}

void reactor_impl::retire(descriptor_handler* handler) {
    std::unique_ptr<descriptor_handler> retired(handler);
    if (is_dispatching_)
        retired_handlers_.push_back(std::move(retired));
}

void reactor_impl::run_deferred() {
    while (!deferred_callbacks_.empty()) {
        const auto callbacks = std::exchange(deferred_callbacks_, {});
        for (const auto& callback : callbacks)
            callback();
    }
}

void reactor_impl::run_once(ACE_Time_Value* wait) {
    ace_.handle_events(wait);
    if (now_() - last_poll_ > max_poll_delay)
        handle_input(epoll_fd_);
    run_deferred();
}

descriptor_watch::descriptor_watch(reactor_impl* owner, int fd,
                                   callback on_ready)
    : handler_(new descriptor_handler(owner, fd, std::move(on_ready))) {}

descriptor_watch::descriptor_watch(descriptor_watch&& other) noexcept
    : handler_(std::exchange(other.handler_, nullptr)) {}

descriptor_watch&
descriptor_watch::operator=(descriptor_watch&& other) noexcept {
    std::swap(handler_, other.handler_);
    other.reset();
    return *this;
}

descriptor_watch::~descriptor_watch() {
    reset();
}

void descriptor_watch::set_interest(bool read, bool write) {
    if (handler_ != nullptr)
        handler_->set_interest(read, write);
}

void descriptor_watch::reset() {
    if (auto* handler = std::exchange(handler_, nullptr))
        handler->close();
}

class timer_handler : public ACE_Event_Handler {
  public:
    timer_handler(reactor_impl* owner, reactor::timer_id id, time_point due,
                  std::function<void()> callback)
        : owner_(owner), id_(id), due_(due), callback_(std::move(callback)) {
        reference_counting_policy().value(
            ACE_Event_Handler::Reference_Counting_Policy::ENABLED);
    }

    int handle_timeout(const ACE_Time_Value&, const void*) override {
        owner_->detect_pause(due_);
        if (owner_->pause_ > duration::zero())
            owner_->handle_input(owner_->epoll_fd_);
        // The events just handled may have cancelled this timer.
        if (owner_->timers_.count(id_) == 0)
            return 0;
        const auto callback = std::move(callback_);
        owner_->timers_.erase(id_);
        remove_reference();
        callback();
        return 0;
    }

    long ace_id{};

  private:
    reactor_impl* owner_;
    reactor::timer_id id_;
    time_point due_;
    std::function<void()> callback_;
};

namespace {

class signal_handler : public ACE_Event_Handler {
  public:
    explicit signal_handler(std::function<void()> callback)
        : callback_(std::move(callback)) {}

    int handle_signal(int, siginfo_t*, ucontext_t*) override {
        // This runs in the signal handler, so the callback is left to the loop.
        reactor()->notify(this, EXCEPT_MASK);
        return 0;
    }

    int handle_exception(ACE_HANDLE) override {
        callback_();
        return 0;
    }

  private:
    std::function<void()> callback_;
};

} // namespace

reactor::reactor(clock_hook now)
    : impl_(std::make_unique<reactor_impl>(std::move(now))) {}

reactor::~reactor() {
    while (!impl_->timers_.empty())
        cancel(impl_->timers_.begin()->first);
}

descriptor_watch reactor::watch(int fd, descriptor_watch::callback on_ready) {
    return {impl_.get(), fd, std::move(on_ready)};
}

reactor::timer_id reactor::after(duration delay,
                                 std::function<void()> callback) {
    const auto id = impl_->next_timer_id_++;
    auto* handler = new timer_handler(impl_.get(), id, impl_->now_() + delay,
                                      std::move(callback));
    impl_->timers_.emplace(id, handler);
    handler->ace_id =
        impl_->ace_.schedule_timer(handler, nullptr, to_ace(delay));
    return id;
}

void reactor::cancel(timer_id id) {
    const auto it = impl_->timers_.find(id);
    if (it == impl_->timers_.end())
        return;
    auto* handler = it->second;
    impl_->timers_.erase(it);
    impl_->ace_.cancel_timer(handler->ace_id);
    handler->remove_reference();
}

void reactor::defer(std::function<void()> callback) {
    impl_->deferred_callbacks_.push_back(std::move(callback));
}

void reactor::on_pause(std::function<void(duration)> callback) {
    impl_->on_pause_ = std::move(callback);
}

duration reactor::current_pause() const {
    return impl_->pause_;
}

void reactor::on_stop_signal(std::function<void()> callback) {
    auto handler = std::make_unique<signal_handler>(std::move(callback));
    handler->reactor(&impl_->ace_);
    impl_->ace_.register_handler(SIGTERM, handler.get());
    impl_->ace_.register_handler(SIGINT, handler.get());
    impl_->stop_handler_ = std::move(handler);
}

void reactor::on_reload_signal(std::function<void()> callback) {
    auto handler = std::make_unique<signal_handler>(std::move(callback));
    handler->reactor(&impl_->ace_);
    impl_->ace_.register_handler(SIGHUP, handler.get());
    impl_->reload_handler_ = std::move(handler);
}

void reactor::run() {
    impl_->is_stopped_ = false;
    impl_->run_deferred();
    while (!impl_->is_stopped_)
        impl_->run_once(nullptr);
}

bool reactor::run_until(const std::function<bool()>& condition,
                        duration timeout) {
    const auto end = steady_now() + timeout;
    impl_->run_deferred();
    while (!condition()) {
        const auto remaining = end - steady_now();
        if (remaining <= duration::zero())
            return false;
        auto wait = to_ace(remaining);
        impl_->run_once(&wait);
    }
    return true;
}

void reactor::stop() {
    impl_->is_stopped_ = true;
}

} // namespace redwingwind::io
