#include "libs/http1/transferprogress.h"

#include <boost/test/unit_test.hpp>

namespace mulberry::detail {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kibibyte = 1024;

struct transfer_fixture {
    transfer_progress::clock::time_point now;
    transfer_progress subject;

    transfer_fixture() { subject.start(now); }

    /// Transfers bytes in equal pieces for some time.
    void transfer(std::size_t bytes, std::chrono::milliseconds period, int count)
    {
        for (int i = 0; i < count; ++i) {
            now += period;
            subject.add(bytes, now);
        }
    }
};

} // namespace

// Guards against closing the connection of a caller that reads at an ordinary rate.
BOOST_FIXTURE_TEST_CASE(steady_transfers_are_not_slow, transfer_fixture)
{
    BOOST_TEST(!subject.is_slow(now + 900ms));
    transfer(16 * kibibyte, 100ms, 50);
    BOOST_TEST(!subject.is_slow(now));
    BOOST_TEST(!subject.is_slow(now + 900ms));
}

// Guards against callers that stop after a long part that the kernel has buffered.
BOOST_FIXTURE_TEST_CASE(stalled_transfers_are_slow, transfer_fixture)
{
    transfer(std::size_t{4} * 1024 * kibibyte, 10ms, 1);
    BOOST_TEST(!subject.is_slow(now + 900ms));
    BOOST_TEST(subject.is_slow(now + 1s));
}

// Guards against callers that read a byte now and then.
BOOST_FIXTURE_TEST_CASE(trickling_transfers_are_slow, transfer_fixture)
{
    transfer(1, 300ms, 10);
    BOOST_TEST(subject.is_slow(now));
    BOOST_TEST(subject.is_slow(now + 300ms));
}

// Guards against a verdict that stays after a caller has recovered.
BOOST_FIXTURE_TEST_CASE(a_recovered_transfer_is_not_slow, transfer_fixture)
{
    transfer(1, 300ms, 10);
    transfer(32 * kibibyte, 100ms, 25);
    BOOST_TEST(!subject.is_slow(now));
}

} // namespace mulberry::detail
