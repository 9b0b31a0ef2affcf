#include "libs/memory/memorybudget.h"
#include "libs/memory/messagebody.h"
#include "libs/memory/receivebuffer.h"

#include <deque>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

constexpr std::size_t small = memory_budget::small_message_bytes;

/// Holds reservations that it can give back.
struct slow_holders final : memory_reclaimer {
    bool reclaim() override
    {
        if (held.empty())
            return false;
        held.pop_front();
        return true;
    }

    std::deque<memory_reservation> held;
};

memory_reservation reserve(const std::shared_ptr<memory_budget>& budget, std::size_t bytes)
{
    memory_reservation reservation(budget);
    BOOST_REQUIRE(reservation.resize(bytes));
    return reservation;
}

} // namespace

// Guards against a budget that is exceeded, and against one that loses or gains bytes when reservations change.
BOOST_AUTO_TEST_CASE(reservations_share_a_limit)
{
    const auto budget = std::make_shared<memory_budget>(8 * small);
    memory_reservation first = reserve(budget, 4 * small);
    memory_reservation second(budget);
    BOOST_TEST(!second.resize(4 * small));
    BOOST_TEST(second.bytes() == 0U);
    BOOST_TEST(budget->refused() == 1U);
    BOOST_TEST(second.resize(2 * small));
    BOOST_TEST(!second.grow_to(3 * small));
    memory_reservation part = first.split(small);
    BOOST_TEST(budget->in_use() == 6 * small);
    first.release();
    BOOST_TEST(budget->in_use() == 3 * small);
    part = std::move(second);
    BOOST_TEST(budget->in_use() == 2 * small);
    BOOST_TEST(part.resize(small));
    BOOST_TEST(budget->in_use() == small);
    part = memory_reservation();
    BOOST_TEST(budget->in_use() == 0U);
}

// Guards against long messages that leave no memory for ordinary ones.
BOOST_AUTO_TEST_CASE(a_part_is_kept_for_small_messages)
{
    const auto budget = std::make_shared<memory_budget>(8 * small);
    const memory_reservation large = reserve(budget, 6 * small);
    memory_reservation next(budget);
    BOOST_TEST(!next.resize(small + 1));
    BOOST_TEST(next.resize(small));
    memory_reservation last(budget);
    BOOST_TEST(last.resize(small));
    memory_reservation beyond(budget);
    BOOST_TEST(!beyond.resize(1));
}

// Guards against slow receivers that keep the memory from others, and against reclaiming more than is needed.
BOOST_AUTO_TEST_CASE(memory_of_slow_holders_is_reclaimed)
{
    const auto budget = std::make_shared<memory_budget>(8 * small);
    const auto holders = std::make_shared<slow_holders>();
    budget->add_reclaimer(holders);
    for (int i = 0; i < 3; ++i)
        holders->held.push_back(reserve(budget, 2 * small));
    const memory_reservation needed = reserve(budget, 3 * small);
    BOOST_TEST(holders->held.size() == 1U);
    BOOST_TEST(budget->reclaimed() == 2U);
    BOOST_TEST(budget->in_use() == 5 * small);
    memory_reservation too_much(budget);
    BOOST_TEST(!too_much.resize(6 * small));
}

// Guards against bytes that stay counted when a reservation is itself reclaimed while it grows.
BOOST_AUTO_TEST_CASE(a_growing_reservation_may_be_reclaimed)
{
    struct self_reclaimer final : memory_reclaimer {
        bool reclaim() override
        {
            const bool holds = reservation->bytes() > 0;
            reservation->release();
            return holds;
        }
        memory_reservation* reservation = nullptr;
    };
    const auto budget = std::make_shared<memory_budget>(4 * small);
    memory_reservation growing(budget);
    const auto self = std::make_shared<self_reclaimer>();
    self->reservation = &growing;
    budget->add_reclaimer(self);
    BOOST_TEST(growing.resize(2 * small));
    BOOST_TEST(growing.resize(4 * small));
    BOOST_TEST(budget->in_use() == growing.bytes());
    growing.release();
    BOOST_TEST(budget->in_use() == 0U);
}

// Guards against memory that is given back while a copy of a body is still held, or not at all.
BOOST_AUTO_TEST_CASE(a_body_is_counted_until_its_last_copy_is_released)
{
    const auto budget = std::make_shared<memory_budget>(8 * small);
    message_body body(std::string("header and body"), reserve(budget, 15));
    message_body suffix = body.suffix(11);
    BOOST_TEST((suffix == "body"));
    BOOST_TEST((body.data() + 11 == suffix.data()));
    BOOST_TEST(suffix.reserve_more(5));
    BOOST_TEST(budget->in_use() == 20U);
    body = {};
    BOOST_TEST(budget->in_use() == 20U);
    suffix = {};
    BOOST_TEST(budget->in_use() == 0U);
    BOOST_TEST(body.reserve_more(1));

    message_body empty;
    empty.attach(reserve(budget, 7));
    BOOST_TEST(empty.empty());
    BOOST_TEST(budget->in_use() == 7U);
    empty = {};
    BOOST_TEST(budget->in_use() == 0U);
}

// Guards against copies of a long message while it grows, and against memory for bytes that were only announced.
BOOST_AUTO_TEST_CASE(long_messages_are_not_copied_while_they_grow)
{
    constexpr std::size_t piece_bytes = std::size_t{16} * 1024;
    constexpr std::size_t long_bytes = std::size_t{2} * 1024 * 1024;
    constexpr std::size_t expected = std::size_t{16} * 1024 * 1024;
    std::string buffer;
    make_room(buffer, piece_bytes, expected);
    BOOST_TEST(buffer.capacity() < 3 * piece_bytes);
    const std::string piece(piece_bytes, 'x');
    const char* long_data = nullptr;
    while (buffer.size() < expected) {
        make_room(buffer, piece.size(), expected);
        buffer += piece;
        if (buffer.size() < long_bytes)
            long_data = buffer.data();
        BOOST_REQUIRE((buffer.size() < long_bytes || buffer.data() == long_data));
    }
    BOOST_TEST(buffer.capacity() == expected);
}

} // namespace mulberry
