#include <redwingwind/io/http.hpp>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <stdexcept>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace redwingwind::io {
namespace {

constexpr unsigned int header_slack_bytes = 2048;

enum MHD_Result add_header(void* target, enum MHD_ValueKind, const char* name,
                           const char* value) {
    auto* headers = static_cast<std::vector<http_header>*>(target);
    headers->push_back({name, value == nullptr ? "" : value});
    return MHD_YES;
}

} // namespace

class http_server::impl {
  public:
    impl(reactor& loop, http_server_options options, handler on_request)
        : loop_(loop), options_(std::move(options)),
          on_request_(std::move(on_request)) {
        start();
    }

    ~impl() {
        *is_alive_ = false;
        loop_.cancel(timer_);
        watch_.reset();
        resume_all();
        MHD_stop_daemon(daemon_);
    }

    std::uint16_t port() const {
        return MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
    }

    void quiesce() {
        const auto fd = MHD_quiesce_daemon(daemon_);
        if (fd != MHD_INVALID_SOCKET)
            close(fd);
    }

    http_server_counters counters;

  private:
    struct connection_state {
        http_request request;
        http_response response;
        MHD_Connection* connection{};
        descriptor_watch gone_watch;
        std::shared_ptr<std::function<void()>> on_gone =
            std::make_shared<std::function<void()>>();
        std::uint64_t id{};
        bool is_dispatched{};
        bool is_oversized{};
        bool is_answered{};
        bool is_suspended{};
    };

    void start() {
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(options_.port);
        if (inet_pton(AF_INET, options_.ip.c_str(), &where.sin_addr) != 1)
            throw std::runtime_error("not an IP number: " + options_.ip);
        const auto limit = static_cast<std::size_t>(options_.most_header_bytes +
                                                    header_slack_bytes);
        const auto idle = static_cast<unsigned int>(
            std::chrono::ceil<std::chrono::seconds>(options_.idle_timeout)
                .count());
        daemon_ = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, options_.port, nullptr,
            nullptr, &impl::on_access, this, MHD_OPTION_SOCK_ADDR,
            reinterpret_cast<sockaddr*>(&where), MHD_OPTION_CONNECTION_LIMIT,
            options_.most_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            limit, MHD_OPTION_CONNECTION_TIMEOUT, idle,
            MHD_OPTION_NOTIFY_COMPLETED, &impl::on_completed, this,
            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
        if (daemon_ == nullptr)
            throw std::runtime_error("can't listen on " + options_.ip + ":" +
                                     std::to_string(options_.port));
        const auto* info =
            MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
        watch_ = loop_.watch(info->epoll_fd, [this](bool, bool) { run(); });
        watch_.want(true, false);
        run();
    }

    void run() {
        if (is_running_)
            return;
        is_running_ = true;
        // libmicrohttpd says 0 while it still has work it can do at once.
        MHD_UNSIGNED_LONG_LONG timeout = 0;
        bool has_timeout = true;
        do {
            MHD_run(daemon_);
            has_timeout = MHD_get_timeout(daemon_, &timeout) == MHD_YES;
        } while (has_timeout && timeout == 0);
        is_running_ = false;
        loop_.cancel(timer_);
        timer_ = 0;
        if (!has_timeout)
            return;
        timer_ = loop_.after(std::chrono::milliseconds(timeout), [this] {
            timer_ = 0;
            run();
        });
    }

    static enum MHD_Result on_access(void* self, MHD_Connection* connection,
                                     const char* url, const char* method,
                                     const char*, const char* data,
                                     std::size_t* n, void** state) {
        return static_cast<impl*>(self)->access(connection, url, method, data,
                                                n, state);
    }

    enum MHD_Result access(MHD_Connection* connection, const char* url,
                           const char* method, const char* data, std::size_t* n,
                           void** state) {
        auto* it = static_cast<connection_state*>(*state);
        if (it == nullptr) {
            it = new connection_state;
            it->id = next_id_++;
            it->connection = connection;
            it->request.method = method;
            it->request.target = url;
            MHD_get_connection_values(connection, MHD_HEADER_KIND, &add_header,
                                      &it->request.headers);
            append_query(connection, it->request.target);
            *state = it;
            open_.emplace(it->id, it);
            ++counters.requests;
            return MHD_YES;
        }
        if (*n > 0) {
            take_body(*it, {data, *n});
            *n = 0;
            return MHD_YES;
        }
        if (it->is_oversized)
            return send(
                *it, {413,
                      {{"Rww-Outcome", "not-run"}, {"Rww-Error", "too_large"}},
                      "request body is too large\n"});
        if (!it->is_dispatched)
            dispatch(*it);
        if (it->is_answered)
            return send(*it, it->response);
        if (!it->is_suspended)
            suspend(*it);
        return MHD_YES;
    }

    void take_body(connection_state& it, std::string_view data) {
        if (it.is_oversized)
            return;
        if (it.request.body.size() + data.size() > options_.most_body_bytes) {
            it.is_oversized = true;
            it.request.body.clear();
            ++counters.oversized;
            return;
        }
        it.request.body.append(data);
    }

    static void append_query(MHD_Connection* connection, std::string& target) {
        std::vector<http_header> query;
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                                  &add_header, &query);
        char separator = '?';
        for (const auto& it : query) {
            target += separator + it.name + "=" + it.value;
            separator = '&';
        }
    }

    void dispatch(connection_state& it) {
        it.is_dispatched = true;
        const auto id = it.id;
        auto alive = is_alive_;
        auto respond = [this, id, alive](http_response response) {
            if (*alive)
                answer(id, std::move(response));
        };
        on_request_({std::move(it.request), std::move(respond), it.on_gone});
    }

    void suspend(connection_state& it) {
        it.is_suspended = true;
        MHD_suspend_connection(it.connection);
        const auto* info = MHD_get_connection_info(
            it.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        const int fd = info->connect_fd;
        const auto id = it.id;
        // A suspended connection is out of libmicrohttpd's sight.
        it.gone_watch = loop_.watch(
            fd, [this, id, fd](bool, bool) { look_for_end(id, fd); });
        it.gone_watch.want(true, false);
    }

    void look_for_end(std::uint64_t id, int fd) {
        const auto found = open_.find(id);
        if (found == open_.end())
            return;
        auto& it = *found->second;
        char c = 0;
        const auto n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
        it.gone_watch.reset();
        if (n > 0)
            return; // The next request is here already.
        const auto on_gone = *it.on_gone;
        answer(id, {499, {}, ""});
        if (on_gone)
            on_gone();
    }

    void answer(std::uint64_t id, http_response response) {
        const auto found = open_.find(id);
        if (found == open_.end() || found->second->is_answered)
            return;
        auto& it = *found->second;
        it.response = std::move(response);
        it.is_answered = true;
        *it.on_gone = nullptr;
        it.gone_watch.reset();
        if (!it.is_suspended)
            return;
        it.is_suspended = false;
        MHD_resume_connection(it.connection);
        if (!is_running_)
            run();
    }

    enum MHD_Result send(connection_state& it, const http_response& response) {
        auto* answer = MHD_create_response_from_buffer(
            response.body.size(), const_cast<char*>(response.body.data()),
            MHD_RESPMEM_MUST_COPY);
        for (const auto& header : response.headers)
            MHD_add_response_header(answer, header.name.c_str(),
                                    header.value.c_str());
        const auto result = MHD_queue_response(
            it.connection, static_cast<unsigned int>(response.status), answer);
        MHD_destroy_response(answer);
        return result;
    }

    static void on_completed(void* self, MHD_Connection*, void** state,
                             enum MHD_RequestTerminationCode why) {
        auto* it = static_cast<connection_state*>(*state);
        if (it == nullptr)
            return;
        *state = nullptr;
        auto* server = static_cast<impl*>(self);
        if (why != MHD_REQUEST_TERMINATED_COMPLETED_OK)
            ++server->counters.cut_off;
        server->open_.erase(it->id);
        const auto on_gone = *it->on_gone;
        const bool was_answered = it->is_answered;
        delete it;
        if (!was_answered && on_gone)
            on_gone();
    }

    void resume_all() {
        for (auto& [id, it] : open_) {
            *it->on_gone = nullptr;
            it->gone_watch.reset();
            if (it->is_suspended)
                MHD_resume_connection(it->connection);
            it->is_suspended = false;
        }
    }

    reactor& loop_;
    http_server_options options_;
    handler on_request_;
    MHD_Daemon* daemon_{};
    descriptor_watch watch_;
    reactor::timer_id timer_{};
    bool is_running_{};
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
    std::uint64_t next_id_{1};
    std::unordered_map<std::uint64_t, connection_state*> open_;
};

http_server::http_server(reactor& loop, http_server_options options,
                         handler on_request)
    : impl_(std::make_unique<impl>(loop, std::move(options),
                                   std::move(on_request))) {}

http_server::~http_server() = default;

std::uint16_t http_server::port() const {
    return impl_->port();
}

const http_server_counters& http_server::counters() const {
    return impl_->counters;
}

void http_server::quiesce() {
    impl_->quiesce();
}

} // namespace redwingwind::io
