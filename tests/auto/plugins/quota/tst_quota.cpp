#include "fakes/virtualtimerservice.h"
#include "libs/base/randomsource.h"
#include "plugins/quota/quotaservice.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace mulberry {

namespace {

using namespace std::chrono_literals;

constexpr double rate = 100;
constexpr double burst = 100;
constexpr std::size_t node_count = 8;

/// A fixed list of nodes.
class fixed_directory final : public member_directory {
public:
    explicit fixed_directory(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            member node;
            node.id = {"node-" + std::to_string(i), 1};
            node.state = member_state::serving;
            m_members.push_back(node);
        }
    }

    std::span<const member> members() const override { return m_members; }
    std::span<const member> members_of(std::string_view) const override { return m_members; }
    const member* find(std::string_view) const override { return nullptr; }
    void add_listener(member_listener&) override {}
    void remove_listener(member_listener&) override {}

private:
    std::vector<member> m_members;
};

struct quota_fleet {
    virtual_timer_service timers;
    seeded_random_source random{11};
    fixed_directory directory{node_count};
    std::set<std::string> cut;

    class link final : public control_link {
    public:
        link(quota_fleet& fleet, std::string from) : m_fleet(fleet), m_from(std::move(from)) {}

        void send(std::string_view to, control_channel, std::string payload) override
        {
            const std::string target(to);
            m_fleet.timers.schedule(20ms, [this, target, payload] {
                if (m_fleet.cut.contains(target) == m_fleet.cut.contains(m_from))
                    m_fleet.nodes.at(target)->on_message(m_from, payload);
            });
        }

    private:
        quota_fleet& m_fleet;
        std::string m_from;
    };

    std::vector<std::unique_ptr<link>> links;
    std::map<std::string, std::unique_ptr<quota_service>> nodes;
    std::vector<time_point> admitted;
    int refused = 0;

    quota_fleet()
    {
        for (const member& node : directory.members()) {
            links.push_back(std::make_unique<link>(*this, node.id.name));
            auto service =
                std::make_unique<quota_service>(quota_settings{}, node.id.name, timers, directory, *links.back());
            service->set_limits({{"school", rate, burst}});
            nodes.emplace(node.id.name, std::move(service));
        }
        timers.advance(2s);
    }

    /// Requests arrive at random nodes at a rate over the whole fleet.
    void run(duration length, double per_second)
    {
        const time_point end = timers.now() + length;
        while (timers.now() < end) {
            auto it = nodes.begin();
            std::advance(it, static_cast<std::ptrdiff_t>(random.uniform(nodes.size())));
            it->second->admit("school", [this](std::optional<refusal> why) {
                if (why) {
                    ++refused;
                    return;
                }
                admitted.push_back(timers.now());
            });
            timers.advance(from_seconds(-std::log(1 - random.unit()) / per_second));
        }
    }

    /// Most admissions in any window of five seconds.
    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        std::size_t begin = 0;
        for (std::size_t i = 0; i < admitted.size(); ++i) {
            while (admitted[i] - admitted[begin] > 5s)
                ++begin;
            most = std::max(most, i - begin + 1);
        }
        return most;
    }
};

/// The users' bound: (rate x window + burst) x 1.1 + 20.
constexpr std::size_t bound = static_cast<std::size_t>((rate * 5 + burst) * 1.1 + 20);

} // namespace

// Guards against refusals of an organisation within its rate.
BOOST_FIXTURE_TEST_CASE(requests_within_the_rate_are_admitted, quota_fleet)
{
    run(20s, rate * 0.6);
    BOOST_TEST(admitted.size() > 1000U);
    BOOST_TEST(refused * 100 <= static_cast<int>(admitted.size()));
}

// Guards against an organisation that gets more than its rate and burst over all nodes.
BOOST_FIXTURE_TEST_CASE(a_flood_is_held_to_rate_and_burst, quota_fleet)
{
    run(20s, rate * 8);
    BOOST_TEST(most_in_window() <= bound);
    // The rate itself is used up: 90% of it at least.
    BOOST_TEST(admitted.size() >= static_cast<std::size_t>(20 * rate * 0.9));
}

// Guards against both sides of a cut that spend the whole rate each.
BOOST_FIXTURE_TEST_CASE(a_cut_does_not_double_the_rate, quota_fleet)
{
    run(5s, rate * 8);
    cut = {"node-4", "node-5", "node-6", "node-7"};
    run(15s, rate * 8);
    BOOST_TEST(most_in_window() <= bound);
    cut.clear();
    run(10s, rate * 8);
    BOOST_TEST(most_in_window() <= bound);
}

// Guards against nodes that serve nothing once they cannot hear the keeper.
BOOST_FIXTURE_TEST_CASE(nodes_without_the_keeper_use_their_even_share, quota_fleet)
{
    cut = {"node-0"};
    run(4s, rate);
    admitted.clear();
    run(10s, rate);
    BOOST_TEST(admitted.size() >= static_cast<std::size_t>(10 * rate * 0.6));
}

// Guards against a limit that stays after the configuration has lifted it.
BOOST_FIXTURE_TEST_CASE(an_organisation_without_a_limit_is_admitted, quota_fleet)
{
    for (auto& [name, service] : nodes)
        service->set_limits({});
    run(2s, rate * 20);
    BOOST_TEST(refused == 0);
}

// Guards against payloads that are no messages of this slice.
BOOST_AUTO_TEST_CASE(unreadable_messages_are_refused)
{
    const std::string report = encode(quota_report{7, {{"school", 3}}});
    BOOST_TEST((kind_of(report) == quota_message_kind::report));
    BOOST_TEST(decode_quota_report(report)->wanted.front().tokens == 3U);
    BOOST_TEST(!decode_quota_grant(report).has_value());
    for (std::size_t length = 0; length < report.size(); ++length)
        BOOST_TEST(!kind_of(std::string_view(report).substr(0, length)).has_value());
}

} // namespace mulberry
