#include "platform/kvstore.h"

#include "fakes/virtualtimerservice.h"
#include "libs/base/asyncerror.h"

#include <deque>

#include <boost/test/unit_test.hpp>

namespace mulberry::platform {

namespace {

using namespace std::chrono_literals;

/// Completes requests in order from a script. A request that comes when the script is empty gets no response.
class scripted_client final : public http_client {
public:
    struct scripted_result {
        std::optional<http_response> response;
        http_error error = http_error::connection_lost;
        duration delay{0};
    };

    explicit scripted_client(timer_service& timers) : m_timers(timers) {}

    http_call_id send(http_request request, http_callback done) override
    {
        urls.push_back(request.url);
        const http_call_id id = ++m_last;
        if (script.empty())
            return id;
        const scripted_result next = script.front();
        script.pop_front();
        m_timers.schedule(next.delay, [next, done = std::move(done)] {
            if (next.response)
                return done(*next.response);
            done(captured_error<http_response>(next.error));
        });
        return id;
    }

    void cancel(http_call_id) override { ++cancelled; }

    std::deque<scripted_result> script;
    std::vector<std::string> urls;
    int cancelled = 0;

private:
    timer_service& m_timers;
    http_call_id m_last = 0;
};

struct store_fixture {
    virtual_timer_service timers;
    scripted_client http{timers};
    kv_store store{make_settings(), http, timers};

    static kv_store_settings make_settings()
    {
        kv_store_settings settings;
        settings.base_url = "http://s:1";
        settings.short_wait_prefix = "fresh";
        settings.short_watch = {1200ms, 1200ms, duration{0}};
        return settings;
    }

    void add_response(int status, std::string body, duration delay = duration{0})
    {
        http.script.push_back({http_response{status, {}, std::move(body)}, {}, delay});
    }

    void add_error(http_error error) { http.script.push_back({std::nullopt, error, duration{0}}); }

    /// Runs one conditional write and returns its outcome: applied, conflict or the name of the error.
    std::string put()
    {
        std::string outcome = "none";
        store.put_if("k", 3, "v", 0, [&](leaf::result<put_result> result) {
            if (result) {
                outcome = result->applied ? "applied" : "conflict";
                return;
            }
            leaf::result<void> failure = result.error();
            outcome = to_string(error_of(std::move(failure), store_error::bad_answer));
        });
        timers.advance(5s);
        return outcome;
    }
};

} // namespace

// Guards against a write that may have taken effect being reported as one without effect, and the other way round.
BOOST_FIXTURE_TEST_CASE(outcomes_of_writes, store_fixture)
{
    const std::vector<std::pair<scripted_client::scripted_result, std::string>> table{
        {{http_response{200, {}, R"({"revision":9})"}, {}, {}}, "applied"},
        {{http_response{412, {}, R"({"items":[]})"}, {}, {}}, "conflict"},
        {{http_response{503, {}, ""}, {}, {}}, std::string(to_string(store_error::unavailable))},
        {{http_response{429, {}, ""}, {}, {}}, std::string(to_string(store_error::unavailable))},
        {{http_response{404, {}, ""}, {}, {}}, std::string(to_string(store_error::no_such_lease))},
        {{http_response{200, {}, "{"}, {}, {}}, std::string(to_string(store_error::bad_answer))},
        {{std::nullopt, http_error::not_sent, {}}, std::string(to_string(store_error::unavailable))},
        {{std::nullopt, http_error::timed_out, {}}, std::string(to_string(store_error::unknown_outcome))},
        {{std::nullopt, http_error::connection_lost, {}}, std::string(to_string(store_error::unknown_outcome))},
    };
    for (const auto& [result, expected] : table) {
        http.script.push_back(result);
        BOOST_TEST(put() == expected);
    }
}

// Guards against entries that are lost between pages, and against a result with the revision of the last page: a watch
// from there would miss the changes that were made while the pages were read.
BOOST_FIXTURE_TEST_CASE(pages_are_joined, store_fixture)
{
    add_response(200, R"({"items":[{"key":"p/a","value":"eA==","revision":3}],"truncated":true,"store_revision":10})");
    add_response(200,
                 R"({"items":[{"key":"p/b","value":"eQ==","revision":11}],"truncated":false,"store_revision":12})");
    range_result joined;
    store.range("p/", [&](leaf::result<range_result> result) { joined = std::move(*result); });
    timers.advance(1s);
    BOOST_TEST(joined.entries.size() == 2U);
    BOOST_TEST(joined.revision == 10);
    BOOST_TEST(http.urls[1] == "http://s:1/-/kv-range?path_prefix=p/&after=p/a");
}

// Guards against a read without end: a page whose items are all malformed has no valid last entry, and the same page
// was read again and again.
BOOST_FIXTURE_TEST_CASE(a_page_of_malformed_items_is_passed_over, store_fixture)
{
    add_response(200, R"({"items":[{"key":"p/a","value":7}],"truncated":true,"store_revision":10})");
    add_response(200, R"({"items":[{"key":"p/b","value":"eQ==","revision":9}],"truncated":false,"store_revision":10})");
    std::size_t entries = 0;
    store.range("p/", [&](leaf::result<range_result> result) { entries = result->entries.size(); });
    timers.advance(1s);
    BOOST_TEST(entries == 1U);
    BOOST_TEST(http.urls.size() == 2U);
    BOOST_TEST(http.urls[1] == "http://s:1/-/kv-range?path_prefix=p/&after=p/a");
}

// Guards against the same read without end when not even a key can be read.
BOOST_FIXTURE_TEST_CASE(a_page_without_a_key_to_continue_from_is_an_error, store_fixture)
{
    for (int i = 0; i < 5; ++i)
        add_response(200, R"({"items":[7],"truncated":true,"store_revision":10})");
    bool failed = false;
    store.range("p/", [&](leaf::result<range_result> result) { failed = !result; });
    timers.advance(1s);
    BOOST_TEST(failed);
    BOOST_TEST(http.urls.size() == 1U);
}

// Guards against changes that are missed when a poll fails and is repeated.
BOOST_FIXTURE_TEST_CASE(a_failed_poll_is_repeated_from_the_same_revision, store_fixture)
{
    add_response(200, R"({"events":[{"key":"p/a","value":"eA==","revision":12}],"store_revision":12})");
    add_error(http_error::connection_lost);
    add_response(503, "");
    std::size_t event_count = 0;
    const watch_id id =
        store.watch("p/", 11, [&](leaf::result<std::vector<watch_event>> result) { event_count += result->size(); });
    timers.advance(1s);
    BOOST_TEST(event_count == 1U);
    BOOST_REQUIRE(http.urls.size() == 4U);
    BOOST_TEST(http.urls[0].find("&after=10&") != std::string::npos);
    BOOST_TEST(http.urls[3].find("&after=12&") != std::string::npos);
    store.cancel_watch(id);
    BOOST_TEST(http.cancelled == 1);
}

// Guards against a watch that continues although the store has discarded the changes in between (status 410).
BOOST_FIXTURE_TEST_CASE(a_discarded_history_ends_the_watch, store_fixture)
{
    add_response(410, "");
    bool ended = false;
    store.watch("p/", 11, [&](leaf::result<std::vector<watch_event>> result) { ended = !result; });
    timers.advance(1s);
    BOOST_TEST(ended);
    BOOST_TEST(http.urls.size() == 1U);
}

// Guards against a view whose age is counted from the first read as soon as its watch has ended: the view then seemed
// too old, and requests with a key were refused.
BOOST_FIXTURE_TEST_CASE(an_ended_watch_still_reports_its_confirmed_time, store_fixture)
{
    add_response(200, R"({"events":[],"store_revision":12})", 1200ms);
    add_response(410, "");
    std::optional<time_point> confirmed_until;
    watch_id id = 0;
    id = store.watch("fresh/x", 11, [&](leaf::result<std::vector<watch_event>> result) {
        if (!result)
            confirmed_until = store.watch_confirmed_until(id);
    });
    timers.advance(3s);
    BOOST_TEST(confirmed_until.has_value());
}

// Guards against a view age that is too small: a response may have been in transit for a long time, so its time of
// arrival confirms nothing.
BOOST_FIXTURE_TEST_CASE(an_empty_response_confirms_up_to_the_end_of_its_wait, store_fixture)
{
    const time_point begin = timers.now();
    add_response(200, R"({"events":[],"store_revision":12})", 1200ms);
    const watch_id id = store.watch("fresh/x", 11, [](leaf::result<std::vector<watch_event>>) {});
    BOOST_TEST(!store.watch_confirmed_until(id).has_value());
    timers.advance(1300ms);
    BOOST_TEST((store.watch_confirmed_until(id).value() - begin == 1200ms));
}

// Also guards against a view age that is too small: a response that comes before its wait is over confirms only the
// time of its request, and one that comes late confirms only the end of its wait.
BOOST_FIXTURE_TEST_CASE(an_early_or_late_response_confirms_less, store_fixture)
{
    const time_point begin = timers.now();
    add_response(200, R"({"events":[],"store_revision":12})", 300ms);
    add_response(200, R"({"events":[],"store_revision":12})", 2000ms);
    const watch_id id = store.watch("fresh/x", 11, [](leaf::result<std::vector<watch_event>>) {});
    timers.advance(400ms);
    BOOST_TEST((store.watch_confirmed_until(id).value() == begin));
    timers.advance(2s);
    BOOST_TEST((store.watch_confirmed_until(id).value() - begin == 1500ms));
}

} // namespace mulberry::platform
