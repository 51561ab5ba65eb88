#pragma once

#include <redwingwind/common/error.hpp>

#include <absl/status/statusor.h>
#include <cereal/cereal.hpp>

#include <bit>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace redwingwind::coordination {

static_assert(std::endian::native == std::endian::little,
              "numbers are encoded in little-endian byte order");

/// A cereal archive that appends to a string.
class output_archive
    : public cereal::OutputArchive<output_archive,
                                   cereal::AllowEmptyClassElision> {
  public:
    explicit output_archive(std::string& buf)
        : cereal::OutputArchive<output_archive, cereal::AllowEmptyClassElision>(
              this),
          buf_(buf) {}

    void write(const void* data, std::size_t n) {
        // Small fields follow a long one; without room for them, the string
        // would be copied into one of twice the size.
        if (n > long_bytes)
            buf_.reserve(buf_.size() + n + long_bytes);
        buf_.append(static_cast<const char*>(data), n);
    }

  private:
    static constexpr std::size_t long_bytes = 64U << 10U;

    std::string& buf_;
};

/// A cereal archive that reads received bytes. A length larger than the number
/// of remaining bytes throws cereal::Exception, so a corrupt length never makes
/// a container allocate.
class input_archive
    : public cereal::InputArchive<input_archive,
                                  cereal::AllowEmptyClassElision> {
  public:
    explicit input_archive(std::string_view bytes)
        : cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision>(
              this),
          bytes_(bytes) {}

    void read(void* data, std::size_t n) {
        if (n > bytes_.size())
            throw cereal::Exception("message is truncated");
        // An empty container may pass a null pointer, which memcpy must not
        // get.
        if (n == 0)
            return;
        std::memcpy(data, bytes_.data(), n);
        bytes_.remove_prefix(n);
    }

    void check_count(std::size_t n) const {
        if (n > bytes_.size())
            throw cereal::Exception("length exceeds the rest of the message");
    }

    bool is_at_end() const { return bytes_.empty(); }

  private:
    std::string_view bytes_;
};

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(output_archive& ar, const T& value) {
    ar.write(&value, sizeof(value));
}

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& ar, T& value) {
    ar.read(&value, sizeof(value));
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(output_archive& ar,
                                    cereal::NameValuePair<T>& pair) {
    ar(pair.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(input_archive& ar,
                                    cereal::NameValuePair<T>& pair) {
    ar(pair.value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(output_archive& ar,
                               const cereal::SizeTag<T>& tag) {
    const auto n = static_cast<std::uint32_t>(tag.size);
    ar.write(&n, sizeof(n));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& ar, cereal::SizeTag<T>& tag) {
    std::uint32_t n = 0;
    ar.read(&n, sizeof(n));
    ar.check_count(n);
    tag.size = n;
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(output_archive& ar,
                               const cereal::BinaryData<T>& data) {
    ar.write(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& ar, cereal::BinaryData<T>& data) {
    ar.read(data.data, static_cast<std::size_t>(data.size));
}

template <class Message>
std::string encode(const Message& message) {
    std::string buf;
    output_archive ar(buf);
    ar(message);
    return buf;
}

/// Errors: bad_input when the bytes are not exactly one encoded Message.
template <class Message>
absl::StatusOr<Message> decode(std::string_view bytes) {
    try {
        Message message;
        input_archive ar(bytes);
        ar(message);
        if (ar.is_at_end())
            return message;
        return make_error(error_code::bad_input,
                          "trailing bytes after the message");
    } catch (const cereal::Exception& e) {
        return make_error(error_code::bad_input, e.what());
    }
}

} // namespace redwingwind::coordination

CEREAL_REGISTER_ARCHIVE(redwingwind::coordination::output_archive)
CEREAL_REGISTER_ARCHIVE(redwingwind::coordination::input_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(redwingwind::coordination::input_archive,
                            redwingwind::coordination::output_archive)
