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

/// A directory whose nodes may leave and return.
class test_directory final : public member_directory {
public:
    explicit test_directory(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            member node;
            node.id = {"node-" + std::to_string(i), 1};
            node.state = member_state::serving;
            m_members.push_back(node);
        }
    }

    void set_state(std::size_t node, member_state state) { m_members[node].state = state; }

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
    /// Each node's own view of the fleet.
    std::vector<std::unique_ptr<test_directory>> directories;
    std::set<std::string> partitioned_nodes;
    /// Nodes whose messages are all lost.
    std::set<std::string> muted_nodes;
    /// Nodes whose links lose packets, and the fraction of messages that are retransmitted.
    std::set<std::string> lossy_nodes;
    double loss = 0;
    /// Sequence of the last report of each node.
    std::map<std::string, std::uint64_t> last_sequences;

    class link final : public control_link {
    public:
        link(quota_fleet& fleet, std::string from) : m_fleet(fleet), m_from(std::move(from)) {}

        void send(std::string_view to, control_channel, std::string payload) override
        {
            const std::string target(to);
            if (const auto report = decode_quota_report(payload))
                m_fleet.last_sequences[m_from] = report->sequence;
            time_point& arrival = m_arrivals[target];
            const duration latency = 20ms + m_fleet.draw_retransmission(m_from, target);
            arrival = std::max(arrival, m_fleet.timers.now() + latency);
            m_fleet.timers.schedule(arrival - m_fleet.timers.now(), [this, target, payload] {
                const bool lost = m_fleet.muted_nodes.contains(m_from);
                if (!lost && m_fleet.partitioned_nodes.contains(target) == m_fleet.partitioned_nodes.contains(m_from))
                    m_fleet.nodes.at(target)->on_message(m_from, payload);
            });
        }

    private:
        quota_fleet& m_fleet;
        std::string m_from;
        /// When the last message to each node arrives; later ones do not overtake it.
        std::map<std::string, time_point> m_arrivals;
    };

    std::vector<std::unique_ptr<link>> links;
    std::map<std::string, std::unique_ptr<quota_service>> nodes;
    std::vector<time_point> admitted_at;
    int refused_requests = 0;

    quota_fleet()
    {
        for (std::size_t i = 0; i < node_count; ++i) {
            const std::string name = "node-" + std::to_string(i);
            links.push_back(std::make_unique<link>(*this, name));
            directories.push_back(std::make_unique<test_directory>(node_count));
            nodes.emplace(name, make_service(i));
        }
        timers.advance(2s);
    }

    duration draw_retransmission(const std::string& from, const std::string& to)
    {
        const bool is_lossy = lossy_nodes.contains(from) || lossy_nodes.contains(to);
        return is_lossy && random.uniform_real() < loss ? 250ms : 0ms;
    }

    /// Replaces the process of a node: the new one knows nothing of the tokens that it has granted.
    void restart(std::size_t node, duration downtime)
    {
        const std::string name = "node-" + std::to_string(node);
        muted_nodes.insert(name);
        nodes.at(name) = make_service(node);
        timers.schedule(downtime, [this, name] { muted_nodes.erase(name); });
    }

    std::unique_ptr<quota_service> make_service(std::size_t node)
    {
        auto service = std::make_unique<quota_service>(quota_settings{}, "node-" + std::to_string(node), timers,
                                                       *directories[node], *links[node]);
        service->set_limits({{"school", rate, burst}});
        return service;
    }

    /// Changes the state of a node. Other nodes learn of it one after the other within the delay.
    void set_state(std::size_t node, member_state state, duration delay)
    {
        directories[node]->set_state(node, state);
        for (std::size_t i = 0; i < node_count; ++i) {
            timers.schedule(delay * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(node_count),
                            [this, i, node, state] { directories[i]->set_state(node, state); });
        }
    }

    /// Sends requests to random nodes at the given rate over the whole fleet, with exponentially distributed intervals.
    void run(duration length, double per_second)
    {
        const time_point end = timers.now() + length;
        while (timers.now() < end) {
            auto it = nodes.begin();
            std::advance(it, static_cast<std::ptrdiff_t>(random.uniform(nodes.size())));
            it->second->admit("school", [this](std::optional<refusal> why) {
                if (why) {
                    ++refused_requests;
                    return;
                }
                admitted_at.push_back(timers.now());
            });
            timers.advance(from_seconds(-std::log(1 - random.uniform_real()) / per_second));
        }
    }

    /// Returns the maximum number of admitted requests in any window of five seconds.
    std::size_t max_in_window() const
    {
        std::size_t max_count = 0;
        std::size_t begin = 0;
        for (std::size_t i = 0; i < admitted_at.size(); ++i) {
            while (admitted_at[i] - admitted_at[begin] > 5s)
                ++begin;
            max_count = std::max(max_count, i - begin + 1);
        }
        return max_count;
    }
};

/// The bound that users are promised for a window: (rate x window + burst) x 1.1 + 20.
constexpr std::size_t max_admitted_in_window = static_cast<std::size_t>((rate * 5 + burst) * 1.1 + 20);

} // namespace

// Requests of an organisation within its rate limit must be admitted; one refusal per 100 admitted requests is allowed.
BOOST_FIXTURE_TEST_CASE(requests_within_the_rate_are_admitted, quota_fleet)
{
    run(20s, rate * 0.6);
    BOOST_TEST(admitted_at.size() > 1000U);
    BOOST_TEST(refused_requests * 100 <= static_cast<int>(admitted_at.size()));
}

// An organisation must not get more than its rate and burst over all nodes.
BOOST_FIXTURE_TEST_CASE(a_flood_is_limited_to_rate_and_burst, quota_fleet)
{
    run(20s, rate * 8);
    BOOST_TEST(max_in_window() <= max_admitted_in_window);
    // At least 90% of the rate must be usable.
    BOOST_TEST(admitted_at.size() >= static_cast<std::size_t>(20 * rate * 0.9));
}

// In a network partition the two sides together must not exceed the rate limit: without withheld shares each side
// would use the full rate.
BOOST_FIXTURE_TEST_CASE(a_partition_does_not_double_the_rate, quota_fleet)
{
    run(5s, rate * 8);
    partitioned_nodes = {"node-4", "node-5", "node-6", "node-7"};
    run(15s, rate * 8);
    BOOST_TEST(max_in_window() <= max_admitted_in_window);
    partitioned_nodes.clear();
    run(10s, rate * 8);
    BOOST_TEST(max_in_window() <= max_admitted_in_window);
}

// Guards against a successor of the coordinator that grants the burst again, which its predecessor has just granted.
BOOST_AUTO_TEST_CASE(a_new_coordinator_does_not_grant_the_burst_again)
{
    for (const duration moment : {100ms, 400ms, 1000ms, 2500ms}) {
        for (const duration delay : {0ms, 100ms, 400ms}) {
            quota_fleet fleet;
            fleet.run(5s, rate * 0.2);
            fleet.run(moment, rate * 8);
            fleet.set_state(0, member_state::leaving, delay);
            fleet.run(1500ms, rate * 8);
            fleet.set_state(1, member_state::leaving, delay);
            fleet.run(1500ms, rate * 8);
            fleet.set_state(0, member_state::serving, delay);
            fleet.run(3s, rate * 8);
            BOOST_TEST(fleet.max_in_window() <= max_admitted_in_window, to_milliseconds(moment) << " ms");
        }
    }
}

// Guards against a coordinator that grants the burst again after a restart, in which its name stays the same.
BOOST_AUTO_TEST_CASE(a_restarted_coordinator_does_not_grant_the_burst_again)
{
    for (const duration period : {1s, 2s, 3s, 4s}) {
        for (const duration downtime : {100ms, 500ms, 1500ms}) {
            quota_fleet fleet;
            fleet.run(5s, rate * 0.2);
            for (int i = 0; i < 5; ++i) {
                fleet.run(period, rate * 8);
                fleet.restart(0, downtime);
            }
            fleet.run(4s, rate * 8);
            BOOST_TEST(fleet.max_in_window() <= max_admitted_in_window,
                       fleet.max_in_window() << " with restarts each " << to_milliseconds(period) << " ms, downtime "
                                             << to_milliseconds(downtime) << " ms");
        }
    }
}

// Guards against using the same part of a limit twice: a node took tokens of its even share for requests whose grants
// were late, and used these grants for later requests.
BOOST_AUTO_TEST_CASE(late_grants_are_not_used_beside_even_shares)
{
    const std::vector<std::set<std::string>> table{
        {"node-0"}, {"node-0", "node-3"}, {"node-4", "node-5", "node-6", "node-7"}};
    for (const auto& lossy_nodes : table) {
        for (const double loss : {0.05, 0.2, 0.6}) {
            quota_fleet fleet;
            fleet.lossy_nodes = lossy_nodes;
            fleet.loss = loss;
            for (int surge = 0; surge < 4; ++surge) {
                fleet.run(4s, rate * 0.3);
                fleet.run(6s, rate * 8);
            }
            BOOST_TEST(fleet.max_in_window() <= max_admitted_in_window,
                       fleet.max_in_window() << " with loss " << loss << " at " << *lossy_nodes.begin());
        }
    }
}

// Guards against even shares beside grants that are lost on the way back: the coordinator hears the nodes, but they do
// not hear it.
BOOST_FIXTURE_TEST_CASE(even_shares_are_withheld_from_nodes_that_get_no_answers, quota_fleet)
{
    muted_nodes = {"node-0"};
    run(15s, rate * 8);
    BOOST_TEST(max_in_window() <= max_admitted_in_window);
    muted_nodes.clear();
    run(10s, rate * 8);
    BOOST_TEST(max_in_window() <= max_admitted_in_window);
}

// A grant that was delayed for longer than the lifetime of tokens must not be used: the rate of that time has been used
// by others, or by the even share.
BOOST_FIXTURE_TEST_CASE(a_grant_that_arrives_too_late_is_discarded, quota_fleet)
{
    for (const duration delay : {1s, 2s}) {
        partitioned_nodes = {"node-0"};
        nodes.at("node-3")->admit("school", [](const std::optional<refusal>&) {});
        const std::uint64_t sequence = last_sequences.at("node-3");
        timers.advance(delay);
        nodes.at("node-3")->on_message("node-0", encode(quota_grant{sequence, {{"school", 50}}}));
        int admitted_requests = 0;
        for (int i = 0; i < 20; ++i)
            nodes.at("node-3")->admit("school", [&](const std::optional<refusal>& why) { admitted_requests += !why; });
        // Without the grant there is only the even share.
        BOOST_TEST((admitted_requests == 20) == (delay == 1s), admitted_requests << " admitted");
        timers.advance(5s);
        partitioned_nodes.clear();
        timers.advance(5s);
    }
}

// Requests within the rate limit must be admitted while links lose packets and grants are late.
BOOST_FIXTURE_TEST_CASE(requests_within_the_rate_are_admitted_beside_lost_packets, quota_fleet)
{
    lossy_nodes = {"node-0"};
    loss = 0.05;
    run(30s, rate * 0.6);
    BOOST_TEST_MESSAGE(refused_requests << " of " << admitted_at.size() + static_cast<std::size_t>(refused_requests)
                                        << " requests refused");
    BOOST_TEST(refused_requests * 100 <= static_cast<int>(admitted_at.size()));
}

// Requests within the rate limit must be admitted while the coordinator changes.
BOOST_FIXTURE_TEST_CASE(requests_within_the_rate_are_admitted_while_the_coordinator_changes, quota_fleet)
{
    run(5s, rate * 0.6);
    for (std::size_t node = 0; node < 5; ++node) {
        set_state(node, member_state::leaving, 100ms);
        run(2s, rate * 0.6);
        set_state(node, member_state::serving, 100ms);
        run(2s, rate * 0.6);
    }
    BOOST_TEST_MESSAGE(refused_requests << " of " << admitted_at.size() + static_cast<std::size_t>(refused_requests)
                                        << " requests refused");
    BOOST_TEST(refused_requests * 100 <= static_cast<int>(admitted_at.size()));
}

// Nodes that cannot reach the coordinator must still admit requests, from their even shares.
BOOST_FIXTURE_TEST_CASE(nodes_without_the_coordinator_use_their_even_share, quota_fleet)
{
    partitioned_nodes = {"node-0"};
    run(4s, rate);
    admitted_at.clear();
    run(10s, rate);
    BOOST_TEST(admitted_at.size() >= static_cast<std::size_t>(10 * rate * 0.6));
}

// A rate limit must not be enforced after the configuration has removed it.
BOOST_FIXTURE_TEST_CASE(an_organisation_without_a_limit_is_admitted, quota_fleet)
{
    for (auto& [name, service] : nodes)
        service->set_limits({});
    run(2s, rate * 20);
    BOOST_TEST(refused_requests == 0);
}

// A request that waits for a token when the limit is removed must be admitted, not refused after the whole wait.
BOOST_FIXTURE_TEST_CASE(requests_that_wait_are_admitted_when_the_limit_is_removed, quota_fleet)
{
    bool admitted = false;
    nodes.at("node-3")->admit("school", [&](std::optional<refusal> why) { admitted = !why; });
    BOOST_TEST(!admitted);
    nodes.at("node-3")->set_limits({});
    BOOST_TEST(admitted);
}

// A node that was paused must not use tokens that it was granted before: the coordinator has granted their part of the
// rate to others meanwhile.
BOOST_FIXTURE_TEST_CASE(tokens_expire_during_a_pause, quota_fleet)
{
    detail::local_quota quota(quota_settings{}, {"school", rate, burst}, timers.now());
    quota.add_tokens(timers.now(), 10);
    timers.advance(5s);
    BOOST_TEST(!quota.take_token(timers.now()));
}

// Deeply nested bytes must not exhaust the stack: such a message from one peer ended the process.
BOOST_AUTO_TEST_CASE(nested_messages_do_not_exhaust_the_stack)
{
    for (const char byte : {'\x81', '\x9f', '\x0b', '\x1a'}) {
        const std::string nested(std::size_t{4} * 1024 * 1024, byte);
        BOOST_TEST(!decode_quota_report(nested).has_value());
        BOOST_TEST(!kind_of(nested).has_value());
    }
}

// Truncated messages must be rejected, and a message must not be decoded as another kind.
BOOST_AUTO_TEST_CASE(unreadable_messages_are_rejected)
{
    const std::string report = encode(quota_report{7, {{"school", 3}}});
    BOOST_TEST((kind_of(report) == quota_message_kind::report));
    BOOST_TEST(decode_quota_report(report)->requested_amounts.front().tokens == 3U);
    BOOST_TEST(!decode_quota_grant(report).has_value());
    for (std::size_t length = 0; length < report.size(); ++length)
        BOOST_TEST(!kind_of(std::string_view(report).substr(0, length)).has_value());
    seeded_random_source random(5);
    for (int i = 0; i < 5000; ++i) {
        std::string bytes = report;
        bytes[random.uniform(bytes.size())] = static_cast<char>(random.uniform(256));
        kind_of(bytes);
        decode_quota_report(bytes);
        decode_quota_grant(bytes);
    }
}

} // namespace mulberry
