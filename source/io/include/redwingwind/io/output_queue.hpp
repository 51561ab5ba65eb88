#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace redwingwind::io {

/// Bytes that wait to be written to a connection. Large pieces are moved in and
/// freed once they are written; small ones are joined so that they leave in one
/// write.
class output_queue {
  public:
    void append(std::string bytes);
    /// The bytes that are next; empty when there are none.
    std::string_view front() const;
    /// Removes bytes from the front; at most those of front().
    void consume(std::size_t n);
    void clear();

    bool empty() const { return unsent_ == 0; }
    /// Bytes that are still to be written.
    std::size_t size() const { return unsent_; }
    /// Bytes of memory that the pieces take, whether written or not.
    std::size_t held() const { return held_; }

  private:
    std::deque<std::string> pieces_;
    /// Bytes of the first piece that have been written.
    std::size_t written_{};
    std::size_t unsent_{};
    std::size_t held_{};
};

} // namespace redwingwind::io
