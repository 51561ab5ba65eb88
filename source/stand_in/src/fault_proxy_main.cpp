// Forwards one TCP and one UDP port and does harm on the way: delay, loss,
// duplication, reordering, cuts and black holes, switched by a schedule or by
// /control. What is harmed is drawn from a seeded generator.

#include "main_support.hpp"

#include <redwingwind/common/time.hpp>

#include <absl/flags/flag.h>
#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Dgram.h>
#include <ace/SOCK_Stream.h>

#include <array>
#include <cstdlib>
#include <exception>
#include <map>
#include <memory>
#include <random>

ABSL_FLAG(std::string, ip, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(std::int64_t, port, 0, "TCP and UDP port to listen on");
ABSL_FLAG(std::string, to, "", "IP:PORT to forward to");
ABSL_FLAG(std::int64_t, control_port, 0, "Port of /control; 0 takes any");
ABSL_FLAG(std::int64_t, seed, 1, "Seed of the harm");
ABSL_FLAG(std::string, schedule, "",
          "JSON list of {at_ms, ...faults} applied in turn");

namespace redwingwind::stand_in {
namespace {

constexpr std::size_t buffer_bytes = 64U << 10U;

struct faults {
    std::int64_t delay_ms{};
    double loss{};
    double duplicate{};
    double reorder{};
    bool black_hole{};
};

class fault_proxy {
  public:
    fault_proxy(io::reactor& loop, const ACE_INET_Addr& listen_on,
                const ACE_INET_Addr& to, std::uint64_t seed)
        : loop_(loop), to_(to), random_(seed) {
        constexpr int reuse = 1;
        if (acceptor_.open(listen_on, reuse) != 0)
            throw std::runtime_error("can't listen");
        acceptor_.enable(ACE_NONBLOCK);
        accept_watch_ = loop_.watch(acceptor_.get_handle(),
                                    [this](bool, bool) { accept_all(); });
        accept_watch_.set_interest(true, false);
        if (front_.open(listen_on) != 0)
            throw std::runtime_error("can't receive datagrams");
        front_.enable(ACE_NONBLOCK);
        front_watch_ = loop_.watch(front_.get_handle(),
                                   [this](bool, bool) { from_clients(); });
        front_watch_.set_interest(true, false);
    }

    void apply(const nlohmann::json& json) {
        faults_.delay_ms = json.value("delay_ms", faults_.delay_ms);
        faults_.loss = json.value("loss", faults_.loss);
        faults_.duplicate = json.value("duplicate", faults_.duplicate);
        faults_.reorder = json.value("reorder", faults_.reorder);
        faults_.black_hole = json.value("black_hole", faults_.black_hole);
        if (json.value("cut", false))
            pairs_.clear();
    }

  private:
    struct side {
        ACE_SOCK_Stream stream;
        io::descriptor_watch watch;
        ~side() {
            watch.reset();
            stream.close();
        }
    };
    struct pair {
        side client;
        side server;
    };
    struct udp_client {
        ACE_INET_Addr address;
        ACE_SOCK_Dgram socket;
        io::descriptor_watch watch;
    };

    bool draw(double share) {
        return share > 0 &&
               std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    void accept_all() {
        while (true) {
            auto it = std::make_unique<pair>();
            ACE_Time_Value no_wait(0, 0);
            if (acceptor_.accept(it->client.stream, nullptr, &no_wait) != 0)
                return;
            ACE_SOCK_Connector connector;
            if (connector.connect(it->server.stream, to_) != 0)
                continue;
            const auto id = next_pair_++;
            it->client.stream.enable(ACE_NONBLOCK);
            it->server.stream.enable(ACE_NONBLOCK);
            it->client.watch =
                loop_.watch(it->client.stream.get_handle(),
                            [this, id](bool, bool) { forward(id, true); });
            it->server.watch =
                loop_.watch(it->server.stream.get_handle(),
                            [this, id](bool, bool) { forward(id, false); });
            it->client.watch.set_interest(true, false);
            it->server.watch.set_interest(true, false);
            pairs_.emplace(id, std::move(it));
        }
    }

    void forward(std::uint64_t id, bool is_from_client) {
        const auto found = pairs_.find(id);
        if (found == pairs_.end())
            return;
        auto& from =
            is_from_client ? found->second->client : found->second->server;
        std::array<char, buffer_bytes> buf{};
        const auto n = from.stream.recv(buf.data(), buf.size());
        if (n < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
            return;
        if (n <= 0) {
            pairs_.erase(found);
            return;
        }
        if (faults_.black_hole)
            return;
        const std::string bytes(buf.data(), static_cast<std::size_t>(n));
        deliver(id, is_from_client, bytes);
        if (draw(faults_.duplicate))
            deliver(id, is_from_client, bytes);
    }

    void deliver(std::uint64_t id, bool is_from_client,
                 const std::string& bytes) {
        const auto late = draw(faults_.reorder) ? 20 : 0;
        const auto write = [this, id, is_from_client, bytes] {
            const auto found = pairs_.find(id);
            if (found == pairs_.end())
                return;
            auto& to =
                is_from_client ? found->second->server : found->second->client;
            to.stream.send_n(bytes.data(), bytes.size());
        };
        if (faults_.delay_ms + late == 0)
            write();
        else
            loop_.after(std::chrono::milliseconds(faults_.delay_ms + late),
                        write);
    }

    void from_clients() {
        std::array<char, buffer_bytes> buf{};
        ACE_INET_Addr from;
        ssize_t n = 0;
        while ((n = front_.recv(buf.data(), buf.size(), from)) >= 0) {
            auto& client = client_of(from);
            const std::string bytes(buf.data(), static_cast<std::size_t>(n));
            pass(bytes, [this, &client](const std::string& b) {
                client.socket.send(b.data(), b.size(), to_);
            });
        }
    }

    udp_client& client_of(const ACE_INET_Addr& from) {
        const std::string name = std::string(from.get_host_addr()) + ":" +
                                 std::to_string(from.get_port_number());
        auto& it = clients_[name];
        if (it)
            return *it;
        it = std::make_unique<udp_client>();
        it->address = from;
        it->socket.open(ACE_INET_Addr(static_cast<u_short>(0), "127.0.0.1"));
        it->socket.enable(ACE_NONBLOCK);
        auto* client = it.get();
        it->watch =
            loop_.watch(it->socket.get_handle(),
                        [this, client](bool, bool) { from_server(*client); });
        it->watch.set_interest(true, false);
        return *it;
    }

    void from_server(udp_client& client) {
        std::array<char, buffer_bytes> buf{};
        ACE_INET_Addr from;
        ssize_t n = 0;
        while ((n = client.socket.recv(buf.data(), buf.size(), from)) >= 0) {
            const std::string bytes(buf.data(), static_cast<std::size_t>(n));
            pass(bytes, [this, &client](const std::string& b) {
                front_.send(b.data(), b.size(), client.address);
            });
        }
    }

    void pass(const std::string& bytes,
              const std::function<void(const std::string&)>& send) {
        if (faults_.black_hole || draw(faults_.loss))
            return;
        const int copies = draw(faults_.duplicate) ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            const auto late = draw(faults_.reorder) ? 20 : 0;
            if (faults_.delay_ms + late == 0)
                send(bytes);
            else
                loop_.after(std::chrono::milliseconds(faults_.delay_ms + late),
                            [bytes, send] { send(bytes); });
        }
    }

    io::reactor& loop_;
    ACE_INET_Addr to_;
    std::mt19937_64 random_;
    faults faults_;
    ACE_SOCK_Acceptor acceptor_;
    io::descriptor_watch accept_watch_;
    ACE_SOCK_Dgram front_;
    io::descriptor_watch front_watch_;
    std::uint64_t next_pair_{1};
    std::map<std::uint64_t, std::unique_ptr<pair>> pairs_;
    std::map<std::string, std::unique_ptr<udp_client>> clients_;
};

} // namespace
} // namespace redwingwind::stand_in

int main(int argc, char** argv) {
    using namespace redwingwind;
    if (!stand_in::read_flags(argc, argv))
        return 2;
    try {
        io::reactor loop;
        const ACE_INET_Addr listen_on(
            static_cast<u_short>(absl::GetFlag(FLAGS_port)),
            absl::GetFlag(FLAGS_ip).c_str());
        const ACE_INET_Addr to(absl::GetFlag(FLAGS_to).c_str());
        stand_in::fault_proxy proxy(
            loop, listen_on, to,
            static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)));
        io::http_server_options options;
        options.port =
            static_cast<std::uint16_t>(absl::GetFlag(FLAGS_control_port));
        io::http_server server(loop, options, [&](auto exchange) {
            proxy.apply(stand_in::body_of(exchange.request));
            exchange.respond(io::json_response(200, "{}"));
        });
        const auto schedule = nlohmann::json::parse(
            absl::GetFlag(FLAGS_schedule), nullptr, false);
        if (schedule.is_array())
            for (const auto& it : schedule)
                loop.after(std::chrono::milliseconds(it.value("at_ms", 0)),
                           [&proxy, it] { proxy.apply(it); });
        std::cout << server.port() << std::endl;
        loop.on_stop_signal([&] { loop.stop(); });
        loop.run();
    } catch (const std::exception& e) {
        std::cerr << argv[0] << ": " << e.what() << "\n";
        return 1;
    }
    return EXIT_SUCCESS;
}
