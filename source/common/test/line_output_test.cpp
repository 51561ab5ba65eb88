#define BOOST_TEST_MODULE log_line_output
#include <redwingwind/common/line_output.hpp>

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <array>
#include <string>

using namespace redwingwind;

namespace {

struct pipe_ends {
    pipe_ends() { BOOST_REQUIRE(pipe(ends.data()) == 0); }
    ~pipe_ends() {
        close(ends[0]);
        close(ends[1]);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;

    std::string read_some() const {
        std::array<char, 1U << 17U> buf{};
        const auto n = read(ends[0], buf.data(), buf.size());
        return n > 0 ? std::string(buf.data(), static_cast<std::size_t>(n))
                     : std::string();
    }

    std::array<int, 2> ends{-1, -1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_line_written_to_a_pipe, pipe_ends)

BOOST_AUTO_TEST_CASE(is_written_with_its_line_end) {
    line_output out(ends[1]);
    BOOST_TEST(out.write("one"));
    BOOST_TEST(out.write("two"));
    BOOST_TEST(read_some() == "one\ntwo\n");
}

BOOST_AUTO_TEST_CASE(is_lost_without_blocking_when_nobody_reads) {
    line_output out(ends[1]);
    const std::string line(1000, 'x');
    std::uint64_t written = 0;
    while (out.write(line))
        ++written;
    BOOST_TEST(written > 0U);
    BOOST_TEST(!out.write(line));
    BOOST_TEST(out.lost() == 2U);
    read_some();
    BOOST_TEST(out.write("after"));
    BOOST_TEST(read_some() ==
               "{\"event\":\"lines_lost\",\"count\":2}\nafter\n");
}

BOOST_AUTO_TEST_CASE(is_lost_when_it_is_longer_than_a_pipe_takes_at_once) {
    line_output out(ends[1]);
    BOOST_TEST(!out.write(std::string(10000, 'x')));
    BOOST_TEST(out.write("next"));
    BOOST_TEST(read_some() == "{\"event\":\"lines_lost\",\"count\":1}\nnext\n");
}

BOOST_AUTO_TEST_SUITE_END()
