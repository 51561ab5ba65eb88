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

/// ACE itself watches the epoll set, its own pipe and little else; it
/// reserves memory for each.
constexpr std::size_t ace_descriptors = 1024;
/// Ready descriptors taken by one wait.
constexpr int batch_size = 256;
/// ACE runs one timer that is due and looks at descriptors only when none
/// is. Descriptors wait no longer than this for timers.
constexpr duration most_unpolled = std::chrono::milliseconds(5);

/// A timer that is overdue by this long was held up by a pause of the
/// process.
constexpr duration least_pause = std::chrono::seconds(1);

ACE_Time_Value to_ace(duration d) {
    const auto n = std::max<duration::rep>(d.count(), 0);
    return ACE_Time_Value(static_cast<time_t>(n / 1000000),
                          static_cast<suseconds_t>(n % 1000000));
}

/// ACE's own timers follow the time of day, which may be set back.
class clock_policy {
  public:
    explicit clock_policy(clock_hook now = steady_now) : now_(std::move(now)) {}

    ACE_Time_Value_T<clock_policy> operator()() const {
        return ACE_Time_Value_T<clock_policy>(
            to_ace(now_().time_since_epoch()));
    }
    /// ACE's older way to choose a clock; not used.
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
        : now_(std::move(now)), queue_(nullptr, nullptr, clock_policy(now_)),
          poll_(ace_descriptors, true, &signals_, &queue_), ace_(&poll_, false),
          set_(::epoll_create1(EPOLL_CLOEXEC)) {
        // A write to a connection that its peer closed fails with EPIPE; it
        // must not end the process.
        std::signal(SIGPIPE, SIG_IGN);
        if (set_ < 0 || !poll_.initialized())
            throw std::runtime_error("no descriptors for the event loop");
        ace_.register_handler(this, READ_MASK);
    }

    ~reactor_impl() override {
        ace_.remove_handler(this, READ_MASK | DONT_CALL);
        ::close(set_);
    }
    reactor_impl(const reactor_impl&) = delete;
    reactor_impl& operator=(const reactor_impl&) = delete;

    ACE_HANDLE get_handle() const override { return set_; }
    int handle_input(ACE_HANDLE) override;
    void run_deferred();
    /// Once round the loop: waits at most so long for an event, without a
    /// limit when there is none, and then does what the event left to do.
    void turn(ACE_Time_Value* wait);
    void bury(descriptor_handler* handler);
    /// A timer should have run at this time.
    void look_for_pause(time_point due);

    // ACE_Sig_Handler looks at its handlers when it ends.
    std::unique_ptr<ACE_Event_Handler> stop_handler_;
    std::unique_ptr<ACE_Event_Handler> reload_handler_;
    ACE_Sig_Handler signals_;
    clock_hook now_;
    timer_queue queue_;
    ACE_Dev_Poll_Reactor poll_;
    ACE_Reactor ace_;
    int set_;
    std::unordered_map<reactor::timer_id, timer_handler*> timers_;
    std::vector<std::function<void()>> deferred_;
    /// Watches that ended; events of the same wait may still name them.
    std::vector<std::unique_ptr<descriptor_handler>> ended_;
    reactor::timer_id next_timer_{1};
    time_point polled_{};
    std::function<void(duration)> on_pause_;
    duration pause_{};
    /// When the last pause was seen to be over.
    time_point resumed_{};
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
        const int what = events_ == 0  ? EPOLL_CTL_ADD
                         : events == 0 ? EPOLL_CTL_DEL
                                       : EPOLL_CTL_MOD;
        epoll_event change{};
        change.events = events;
        change.data.ptr = this;
        ::epoll_ctl(owner_->set_, what, fd_, &change);
        events_ = events;
    }

    void end() {
        set_interest(false, false);
        has_ended_ = true;
        owner_->bury(this);
    }

    void ready(std::uint32_t events) {
        if (has_ended_)
            return;
        // The callback may end this watch, which then lives until the batch
        // is over. An error shows in the next read or write.
        const bool is_broken = (events & (EPOLLERR | EPOLLHUP)) != 0;
        const bool can_read = (events & EPOLLIN) != 0;
        const bool can_write = (events & EPOLLOUT) != 0;
        on_ready_(can_read || (is_broken && (events_ & EPOLLIN) != 0),
                  can_write || (is_broken && (events_ & EPOLLOUT) != 0));
    }

  private:
    reactor_impl* owner_;
    int fd_;
    descriptor_watch::callback on_ready_;
    std::uint32_t events_{};
    bool has_ended_{};
};

void reactor_impl::look_for_pause(time_point due) {
    // One pause holds up many timers.
    const auto now = now_();
    const auto late = now - std::max(due, resumed_);
    if (late < least_pause)
        return;
    resumed_ = now;
    pause_ = late;
    if (on_pause_)
        on_pause_(late);
}

int reactor_impl::handle_input(ACE_HANDLE) {
    if (!queue_.is_empty()) {
        const auto& due = queue_.earliest_time();
        look_for_pause(time_point(std::chrono::seconds(due.sec()) +
                                  std::chrono::microseconds(due.usec())));
    }
    std::array<epoll_event, batch_size> ready;
    const int n = ::epoll_wait(set_, ready.data(), batch_size, 0);
    polled_ = now_();
    is_dispatching_ = true;
    for (int it = 0; it < n; ++it) {
        const auto& event = ready[static_cast<std::size_t>(it)];
        static_cast<descriptor_handler*>(event.data.ptr)->ready(event.events);
    }
    is_dispatching_ = false;
    ended_.clear();
    // Timers that were due meanwhile run next; they are no new pause.
    if (n < batch_size)
        pause_ = duration::zero();
    return 0;
}

void reactor_impl::bury(descriptor_handler* handler) {
    std::unique_ptr<descriptor_handler> ended(handler);
    if (is_dispatching_)
        ended_.push_back(std::move(ended));
}

void reactor_impl::run_deferred() {
    while (!deferred_.empty()) {
        const auto due = std::exchange(deferred_, {});
        for (const auto& callback : due)
            callback();
    }
}

void reactor_impl::turn(ACE_Time_Value* wait) {
    ace_.handle_events(wait);
    if (now_() - polled_ > most_unpolled)
        handle_input(set_);
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
        handler->end();
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
        owner_->look_for_pause(due_);
        if (owner_->pause_ > duration::zero())
            owner_->handle_input(owner_->set_);
        // What was read may have cancelled this timer.
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
        // Runs inside the signal: the loop must call back, not this.
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
    const auto id = impl_->next_timer_++;
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
    impl_->deferred_.push_back(std::move(callback));
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
        impl_->turn(nullptr);
}

bool reactor::run_until(const std::function<bool()>& condition,
                        duration limit) {
    const auto end = steady_now() + limit;
    impl_->run_deferred();
    while (!condition()) {
        const auto left = end - steady_now();
        if (left <= duration::zero())
            return false;
        auto wait = to_ace(left);
        impl_->turn(&wait);
    }
    return true;
}

void reactor::stop() {
    impl_->is_stopped_ = true;
}

} // namespace redwingwind::io
