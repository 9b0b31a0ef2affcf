#include "platform/kvstore.h"

#include "fakes/virtualtimerservice.h"
#include "libs/base/asyncerror.h"

#include <deque>

#include <boost/test/unit_test.hpp>

namespace mulberry::platform {

namespace {

using namespace std::chrono_literals;

/// Answers requests in order from a script; an empty script leaves them open.
class scripted_client final : public http_client {
public:
    struct answer {
        std::optional<http_answer> given;
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
        const answer next = script.front();
        script.pop_front();
        m_timers.schedule(next.delay, [next, done = std::move(done)] {
            if (next.given)
                return done(*next.given);
            done(captured_error<http_answer>(next.error));
        });
        return id;
    }

    void cancel(http_call_id) override { ++cancelled; }

    std::deque<answer> script;
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
        kv_store_settings made;
        made.base_url = "http://s:1";
        made.fresh_prefix = "fresh";
        made.short_wait = 1200ms;
        return made;
    }

    void answer(int status, std::string body, duration delay = duration{0})
    {
        http.script.push_back({http_answer{status, {}, std::move(body)}, {}, delay});
    }

    void fail(http_error error) { http.script.push_back({std::nullopt, error, duration{0}}); }

    std::string put()
    {
        std::string outcome = "none";
        store.put_if("k", 3, "v", 0, [&](leaf::result<put_result> result) {
            if (result) {
                outcome = result->applied ? "applied" : "conflict";
                return;
            }
            outcome = to_string(error_of(std::move(result), store_error::bad_answer));
        });
        timers.advance(5s);
        return outcome;
    }
};

} // namespace

// Guards against a write that may have taken effect and is reported as if it had not, and the other way round.
BOOST_FIXTURE_TEST_CASE(outcomes_of_writes, store_fixture)
{
    const std::vector<std::pair<scripted_client::answer, std::string>> table{
        {{http_answer{200, {}, R"({"revision":9})"}, {}, {}}, "applied"},
        {{http_answer{412, {}, R"({"items":[]})"}, {}, {}}, "conflict"},
        {{http_answer{503, {}, ""}, {}, {}}, std::string(to_string(store_error::unavailable))},
        {{http_answer{429, {}, ""}, {}, {}}, std::string(to_string(store_error::unavailable))},
        {{http_answer{404, {}, ""}, {}, {}}, std::string(to_string(store_error::no_such_lease))},
        {{http_answer{200, {}, "{"}, {}, {}}, std::string(to_string(store_error::bad_answer))},
        {{std::nullopt, http_error::not_sent, {}}, std::string(to_string(store_error::unavailable))},
        {{std::nullopt, http_error::timed_out, {}}, std::string(to_string(store_error::unknown_outcome))},
        {{std::nullopt, http_error::connection_lost, {}}, std::string(to_string(store_error::unknown_outcome))},
    };
    for (const auto& [scripted, expected] : table) {
        http.script.push_back(scripted);
        BOOST_TEST(put() == expected);
    }
}

// Guards against entries that are lost between pages, and a watch that starts after them.
BOOST_FIXTURE_TEST_CASE(pages_are_joined, store_fixture)
{
    answer(200, R"({"items":[{"key":"p/a","value":"eA==","revision":3}],"truncated":true,"store_revision":10})");
    answer(200, R"({"items":[{"key":"p/b","value":"eQ==","revision":11}],"truncated":false,"store_revision":12})");
    range_result read;
    store.range("p/", [&](leaf::result<range_result> result) { read = std::move(*result); });
    timers.advance(1s);
    BOOST_TEST(read.entries.size() == 2U);
    BOOST_TEST(read.revision == 10);
    BOOST_TEST(http.urls[1] == "http://s:1/-/kv-range?path_prefix=p/&after=p/a");
}

// Guards against changes that are missed after a cut watch.
BOOST_FIXTURE_TEST_CASE(a_cut_watch_goes_on_from_the_same_revision, store_fixture)
{
    answer(200, R"({"events":[{"key":"p/a","value":"eA==","revision":12}],"store_revision":12})");
    fail(http_error::connection_lost);
    answer(503, "");
    std::size_t events = 0;
    const watch_id id =
        store.watch("p/", 11, [&](leaf::result<std::vector<watch_event>> result) { events += result->size(); });
    timers.advance(1s);
    BOOST_TEST(events == 1U);
    BOOST_REQUIRE(http.urls.size() == 4U);
    BOOST_TEST(http.urls[0].find("&after=10&") != std::string::npos);
    BOOST_TEST(http.urls[3].find("&after=12&") != std::string::npos);
    store.cancel_watch(id);
    BOOST_TEST(http.cancelled == 1);
}

// Guards against a watch that goes on although the store has dropped the changes in between.
BOOST_FIXTURE_TEST_CASE(a_dropped_history_ends_the_watch, store_fixture)
{
    answer(410, "");
    bool ended = false;
    store.watch("p/", 11, [&](leaf::result<std::vector<watch_event>> result) { ended = !result; });
    timers.advance(1s);
    BOOST_TEST(ended);
    BOOST_TEST(http.urls.size() == 1U);
}

// Guards against a view that counts as old as the first read once its watch has ended: keyed requests were refused.
BOOST_FIXTURE_TEST_CASE(an_ended_watch_still_tells_what_it_confirmed, store_fixture)
{
    answer(200, R"({"events":[],"store_revision":12})", 1200ms);
    answer(410, "");
    std::optional<time_point> confirmed;
    watch_id id = 0;
    id = store.watch("fresh/x", 11, [&](leaf::result<std::vector<watch_event>> result) {
        if (!result)
            confirmed = store.watch_confirmed(id);
    });
    timers.advance(3s);
    BOOST_TEST(confirmed.has_value());
}

// Guards against a view that is taken for younger than it is: an answer may have been on its way for long.
BOOST_FIXTURE_TEST_CASE(an_empty_answer_confirms_up_to_the_end_of_its_wait, store_fixture)
{
    const time_point begin = timers.now();
    answer(200, R"({"events":[],"store_revision":12})", 1200ms);
    const watch_id id = store.watch("fresh/x", 11, [](leaf::result<std::vector<watch_event>>) {});
    BOOST_TEST(!store.watch_confirmed(id).has_value());
    timers.advance(1300ms);
    BOOST_TEST((store.watch_confirmed(id).value() - begin == 1200ms));
}

// The same for an answer that came late and for one that came before its wait was over.
BOOST_FIXTURE_TEST_CASE(other_answers_confirm_less, store_fixture)
{
    const time_point begin = timers.now();
    answer(200, R"({"events":[],"store_revision":12})", 300ms);
    answer(200, R"({"events":[],"store_revision":12})", 2000ms);
    const watch_id id = store.watch("fresh/x", 11, [](leaf::result<std::vector<watch_event>>) {});
    timers.advance(400ms);
    BOOST_TEST((store.watch_confirmed(id).value() == begin));
    timers.advance(2s);
    BOOST_TEST((store.watch_confirmed(id).value() - begin == 1500ms));
}

} // namespace mulberry::platform
