#include <redwingwind/io/reactor.hpp>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Sig_Handler.h>
#include <ace/Time_Value.h>

#include <csignal>
#include <unordered_map>
#include <utility>

namespace redwingwind::io {
namespace {

/// Descriptors one process may watch; ACE reserves memory for each.
constexpr std::size_t most_descriptors = 8192;

ACE_Time_Value to_ace(duration d) {
    const auto n = std::max<duration::rep>(d.count(), 0);
    return ACE_Time_Value(static_cast<time_t>(n / 1000000),
                          static_cast<suseconds_t>(n % 1000000));
}

} // namespace

class timer_handler;

class reactor_impl {
  public:
    reactor_impl()
        : poll_(most_descriptors, true, &signals_), ace_(&poll_, false) {}

    // ACE_Sig_Handler looks at its handlers when it ends.
    std::unique_ptr<ACE_Event_Handler> stop_handler_;
    ACE_Sig_Handler signals_;
    ACE_Dev_Poll_Reactor poll_;
    ACE_Reactor ace_;
    std::unordered_map<reactor::timer_id, timer_handler*> timers_;
    reactor::timer_id next_timer_{1};
    bool is_stopped_{};
};

/// Counted by ACE, so that a watch may end inside its own callback.
class descriptor_handler : public ACE_Event_Handler {
  public:
    descriptor_handler(reactor_impl* owner, int fd,
                       descriptor_watch::callback on_ready)
        : owner_(owner), fd_(fd), on_ready_(std::move(on_ready)) {
        reference_counting_policy().value(
            ACE_Event_Handler::Reference_Counting_Policy::ENABLED);
    }

    ACE_HANDLE get_handle() const override { return fd_; }
    int handle_input(ACE_HANDLE) override { return ready(true, false); }
    int handle_output(ACE_HANDLE) override { return ready(false, true); }

    void want(bool read, bool write) {
        if (read == reads_ && write == writes_)
            return;
        change(READ_MASK, reads_, read);
        change(WRITE_MASK, writes_, write);
        reads_ = read;
        writes_ = write;
    }

    void end() {
        want(false, false);
        on_ready_ = nullptr;
        remove_reference();
    }

  private:
    void change(ACE_Reactor_Mask mask, bool had, bool wanted) {
        if (wanted && !had)
            owner_->ace_.register_handler(this, mask);
        else if (had && !wanted)
            owner_->ace_.remove_handler(this, mask | DONT_CALL);
    }

    int ready(bool can_read, bool can_write) {
        // The callback may end this watch.
        const auto callback = on_ready_;
        if (callback)
            callback(can_read, can_write);
        return 0;
    }

    reactor_impl* owner_;
    int fd_;
    descriptor_watch::callback on_ready_;
    bool reads_{};
    bool writes_{};
};

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

void descriptor_watch::want(bool read, bool write) {
    if (handler_ != nullptr)
        handler_->want(read, write);
}

void descriptor_watch::reset() {
    if (auto* handler = std::exchange(handler_, nullptr))
        handler->end();
}

class timer_handler : public ACE_Event_Handler {
  public:
    timer_handler(reactor_impl* owner, reactor::timer_id id,
                  std::function<void()> callback)
        : owner_(owner), id_(id), callback_(std::move(callback)) {
        reference_counting_policy().value(
            ACE_Event_Handler::Reference_Counting_Policy::ENABLED);
    }

    int handle_timeout(const ACE_Time_Value&, const void*) override {
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
    std::function<void()> callback_;
};

namespace {

class stop_handler : public ACE_Event_Handler {
  public:
    explicit stop_handler(std::function<void()> callback)
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

reactor::reactor() : impl_(std::make_unique<reactor_impl>()) {}

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
    auto* handler = new timer_handler(impl_.get(), id, std::move(callback));
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

void reactor::on_stop_signal(std::function<void()> callback) {
    auto handler = std::make_unique<stop_handler>(std::move(callback));
    handler->reactor(&impl_->ace_);
    impl_->ace_.register_handler(SIGTERM, handler.get());
    impl_->ace_.register_handler(SIGINT, handler.get());
    impl_->stop_handler_ = std::move(handler);
}

void reactor::run() {
    impl_->is_stopped_ = false;
    while (!impl_->is_stopped_)
        impl_->ace_.handle_events();
}

bool reactor::run_until(const std::function<bool()>& condition,
                        duration limit) {
    const auto end = steady_now() + limit;
    while (!condition()) {
        const auto left = end - steady_now();
        if (left <= duration::zero())
            return false;
        auto wait = to_ace(left);
        impl_->ace_.handle_events(&wait);
    }
    return true;
}

void reactor::stop() {
    impl_->is_stopped_ = true;
}

} // namespace redwingwind::io
