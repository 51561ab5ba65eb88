#include <redwingwind/io/http.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace redwingwind::io {
namespace {

constexpr std::size_t max_pooled_handles = 1024;
/// Shorter than common idle timeouts of servers, so that a request is rarely
/// sent on a connection that the server is closing.
constexpr long max_idle_seconds = 10;
constexpr std::size_t max_response_header_bytes = 64U << 10U;

struct transfer {
    CURL* easy{};
    curl_slist* headers{};
    std::string body;
    std::size_t sent{};
    std::size_t max_body_bytes{};
    std::size_t header_bytes{};
    bool is_too_large{};
    /// The empty line after the header fields has been read.
    bool is_header_complete{};
    http_response response;
    http_client::callback on_end;
    http_client::call_id id{};
};

std::size_t on_body(char* data, std::size_t, std::size_t n, void* user) {
    auto& it = *static_cast<transfer*>(user);
    if (it.response.body.size() + n > it.max_body_bytes) {
        it.is_too_large = true;
        return 0;
    }
    it.response.body.append(data, n);
    return n;
}

std::size_t on_read(char* buf, std::size_t, std::size_t n, void* user) {
    auto& it = *static_cast<transfer*>(user);
    const auto n_copied = std::min(n, it.body.size() - it.sent);
    std::copy_n(it.body.data() + it.sent, n_copied, buf);
    it.sent += n_copied;
    return n_copied;
}

/// libcurl calls this before it resends a request: fails once a byte was sent.
int on_rewind(void* user, curl_off_t, int) {
    const auto& it = *static_cast<transfer*>(user);
    return it.sent == 0 ? CURL_SEEKFUNC_OK : CURL_SEEKFUNC_FAIL;
}

std::size_t on_header(char* data, std::size_t, std::size_t n, void* user) {
    auto& it = *static_cast<transfer*>(user);
    it.header_bytes += n;
    if (it.header_bytes > max_response_header_bytes) {
        it.is_too_large = true;
        return 0;
    }
    const std::string_view line(data, n);
    // An interim response is followed by another one.
    if (line.starts_with("HTTP/")) {
        it.is_header_complete = false;
        it.response.headers.clear();
    }
    // What follows a chunked body are no header fields.
    if (it.is_header_complete)
        return n;
    it.is_header_complete = line == "\r\n" || line == "\n";
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return n;
    auto value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    value = value.substr(0, value.find_last_not_of("\r\n ") + 1);
    it.response.headers.push_back(
        {std::string(line.substr(0, colon)), std::string(value)});
    return n;
}

http_failure failure_of(CURLcode code, const transfer& it) {
    if (it.is_too_large)
        return http_failure::too_large;
    switch (code) {
    case CURLE_OK:
        if (!is_final_status(it.response.status))
            return http_failure::other;
        // libcurl takes a connection that is closed within the header fields
        // for the end of a response without a body.
        return it.is_header_complete ? http_failure::none
                                     : http_failure::cut_off;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return http_failure::not_connected;
    case CURLE_OPERATION_TIMEDOUT:
        return http_failure::timed_out;
    case CURLE_PARTIAL_FILE:
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
        return http_failure::cut_off;
    default:
        return http_failure::other;
    }
}

} // namespace

class http_client::impl {
  public:
    impl(reactor& loop, long max_idle) : loop_(loop) {
        // Process-wide; libcurl counts the calls, so several clients may make
        // it.
        curl_global_init(CURL_GLOBAL_DEFAULT);
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &impl::on_socket);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &impl::on_timer);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle);
    }

    ~impl() {
        for (auto& [id, it] : active_)
            release(*it);
        for (auto* easy : pool_)
            curl_easy_cleanup(easy);
        loop_.cancel(timer_);
        curl_multi_cleanup(multi_);
        curl_global_cleanup();
    }

    call_id start(const http_call& call, callback on_end) {
        auto it = std::make_unique<transfer>();
        it->id = next_id_++;
        it->on_end = std::move(on_end);
        it->body = call.body;
        it->max_body_bytes = call.max_body_bytes;
        it->easy = take_handle();
        prepare(*it, call);
        const auto id = it->id;
        auto* easy = it->easy;
        active_.emplace(id, std::move(it));
        curl_multi_add_handle(multi_, easy);
        return id;
    }

    void cancel(call_id id) {
        const auto it = active_.find(id);
        if (it == active_.end())
            return;
        const auto cancelled = std::move(it->second);
        active_.erase(it);
        release(*cancelled);
    }

  private:
    CURL* take_handle() {
        if (pool_.empty())
            return curl_easy_init();
        auto* easy = pool_.back();
        pool_.pop_back();
        return easy;
    }

    void release(transfer& it) {
        curl_multi_remove_handle(multi_, it.easy);
        curl_slist_free_all(it.headers);
        it.headers = nullptr;
        if (pool_.size() < max_pooled_handles) {
            curl_easy_reset(it.easy);
            pool_.push_back(it.easy);
        } else {
            curl_easy_cleanup(it.easy);
        }
    }

    static void prepare(transfer& it, const http_call& call) {
        auto* easy = it.easy;
        curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &it);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, max_idle_seconds);
        const auto timeout =
            std::max<std::int64_t>(milliseconds(call.timeout), 1);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &it);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &it);
        prepare_method(it, call);
        for (const auto& header : call.headers)
            it.headers = curl_slist_append(
                it.headers, (header.name + ": " + header.value).c_str());
        // Stops libcurl from adding these headers by itself.
        for (const auto* name : {"Accept", "Content-Type"})
            if (find_header(call.headers, name).empty())
                it.headers = curl_slist_append(
                    it.headers, (std::string(name) + ":").c_str());
        // Without this, libcurl waits for "100 Continue" before larger bodies.
        it.headers = curl_slist_append(it.headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, it.headers);
    }

    static void prepare_method(transfer& it, const http_call& call) {
        if (call.method == "HEAD") {
            curl_easy_setopt(it.easy, CURLOPT_NOBODY, 1L);
            return;
        }
        if (call.method == "GET" && it.body.empty())
            return;
        curl_easy_setopt(it.easy, CURLOPT_POST, 1L);
        if (call.may_resend) {
            curl_easy_setopt(it.easy, CURLOPT_POSTFIELDS, it.body.data());
        } else {
            curl_easy_setopt(it.easy, CURLOPT_READFUNCTION, &on_read);
            curl_easy_setopt(it.easy, CURLOPT_READDATA, &it);
            curl_easy_setopt(it.easy, CURLOPT_SEEKFUNCTION, &on_rewind);
            curl_easy_setopt(it.easy, CURLOPT_SEEKDATA, &it);
            // Without a body there is nothing to rewind, so on_rewind cannot
            // prevent a resend after a reused connection ended.
            curl_easy_setopt(it.easy, CURLOPT_FRESH_CONNECT,
                             it.body.empty() ? 1L : 0L);
        }
        curl_easy_setopt(it.easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(it.body.size()));
        curl_easy_setopt(it.easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    }

    static int on_socket(CURL*, curl_socket_t fd, int what, void* self, void*) {
        static_cast<impl*>(self)->watch_socket(fd, what);
        return 0;
    }

    void watch_socket(int fd, int what) {
        if (what == CURL_POLL_REMOVE) {
            watches_.erase(fd);
            return;
        }
        auto it = watches_.find(fd);
        if (it == watches_.end()) {
            auto watch =
                loop_.watch(fd, [this, fd](bool can_read, bool can_write) {
                    const int events = (can_read ? CURL_CSELECT_IN : 0) |
                                       (can_write ? CURL_CSELECT_OUT : 0);
                    handle_socket_event(fd, events);
                });
            it = watches_.emplace(fd, std::move(watch)).first;
        }
        it->second.set_interest((what & CURL_POLL_IN) != 0,
                                (what & CURL_POLL_OUT) != 0);
    }

    static int on_timer(CURLM*, long timeout_ms, void* self) {
        static_cast<impl*>(self)->set_timer(timeout_ms);
        return 0;
    }

    void set_timer(long timeout_ms) {
        loop_.cancel(timer_);
        timer_ = 0;
        if (timeout_ms < 0)
            return;
        timer_ = loop_.after(std::chrono::milliseconds(timeout_ms), [this] {
            timer_ = 0;
            handle_socket_event(CURL_SOCKET_TIMEOUT, 0);
        });
    }

    void handle_socket_event(curl_socket_t fd, int events) {
        int running = 0;
        curl_multi_socket_action(multi_, fd, events, &running);
        finish_completed();
    }

    void finish_completed() {
        int remaining = 0;
        while (const auto* message = curl_multi_info_read(multi_, &remaining)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            transfer* it = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &it);
            finish(it->id, message->data.result);
        }
    }

    void finish(call_id id, CURLcode code) {
        const auto found = active_.find(id);
        const auto it = std::move(found->second);
        active_.erase(found);
        long status = 0;
        curl_easy_getinfo(it->easy, CURLINFO_RESPONSE_CODE, &status);
        it->response.status = static_cast<int>(status);
        http_result result{failure_of(code, *it), std::move(it->response)};
        release(*it);
        it->on_end(std::move(result));
    }

    reactor& loop_;
    CURLM* multi_{};
    reactor::timer_id timer_{};
    call_id next_id_{1};
    std::unordered_map<int, descriptor_watch> watches_;
    std::unordered_map<call_id, std::unique_ptr<transfer>> active_;
    std::vector<CURL*> pool_;
};

http_client::http_client(reactor& loop, long max_idle_connections)
    : impl_(std::make_unique<impl>(loop, max_idle_connections)) {}

http_client::~http_client() = default;

http_client::call_id http_client::start(const http_call& call,
                                        callback on_end) {
    return impl_->start(call, std::move(on_end));
}

void http_client::cancel(call_id id) {
    impl_->cancel(id);
}

} // namespace redwingwind::io
