#pragma once

#include <redwingwind/io/reactor.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace redwingwind::integration {

/// A target whose responses never end: it writes as fast as its peer reads,
/// until the peer closes.
class endless_target {
  public:
    /// What has no end.
    enum class part {
        status_line,
        header_field,
        header_fields,
        body_without_length,
        body_in_chunks,
        chunk_extension,
        fields_behind_chunks,
        interim_responses,
        /// Responses to another request.
        other_responses
    };

    explicit endless_target(io::reactor& loop,
                            part what = part::body_in_chunks);
    ~endless_target();
    endless_target(const endless_target&) = delete;
    endless_target& operator=(const endless_target&) = delete;

    std::uint16_t port() const { return port_; }
    /// Bytes written to all peers.
    std::size_t written() const { return written_; }

  private:
    struct peer {
        int fd{-1};
        io::descriptor_watch watch;
        std::string request;
        std::string out;
    };

    /// What stands before the part without end.
    std::string begin(const std::string& id) const;
    /// What is written over and over.
    std::string next() const;
    void accept();
    void on_ready(std::size_t id, bool can_read);
    /// False when the peer has closed the connection.
    bool read(peer& it);
    bool write(peer& it);

    io::reactor& loop_;
    part what_;
    int listener_;
    std::uint16_t port_{};
    io::descriptor_watch accept_watch_;
    std::size_t accepted_{};
    std::size_t written_{};
    std::map<std::size_t, peer> peers_;
};

} // namespace redwingwind::integration
