#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace redwingwind::coordination {

/// Shared keys of a deployment. The first one signs; any of them is accepted,
/// so a new key is added behind first, then moved to the front, and the old
/// one is taken away last.
class keyring {
  public:
    struct key {
        std::uint8_t id{};
        std::string secret;
    };

    /// Reads "ID:HEX,ID:HEX": ids 0 to 255, secrets of at least 16 bytes.
    /// Errors: bad_input.
    static absl::StatusOr<keyring> parse(std::string_view text);

    /// Puts version, key id and MAC before the payload. The context is
    /// covered by the MAC without being sent: both ends must know it.
    std::string seal(std::string_view payload,
                     std::string_view context = {}) const;

    /// The payload of a sealed message. Errors: unauthorized.
    absl::StatusOr<std::string_view> open(std::string_view sealed,
                                          std::string_view context = {}) const;

    /// A 16-byte MAC by the first key, in hexadecimal, with the key's id.
    std::string sign(std::string_view bytes) const;
    bool verify(std::string_view bytes, std::string_view signature) const;

  private:
    const key* find(std::uint8_t id) const;

    std::vector<key> keys_;
};

/// Bytes that seal() adds.
constexpr std::size_t seal_bytes = 18;

} // namespace redwingwind::coordination
