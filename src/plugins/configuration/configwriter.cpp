#include "plugins/configuration/configwriter.h"

#include "libs/base/log.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace mulberry {

namespace {

constexpr std::string_view log_part = "configuration";
constexpr std::string_view tag_prefix = "# mulberry-writer: ";
/// How long the writer tries to find out whether a write without a response took effect.
constexpr duration outcome_timeout{std::chrono::seconds(10)};
constexpr duration read_back_interval{std::chrono::milliseconds(250)};

} // namespace

std::string_view to_string(write_error error)
{
    switch (error) {
    case write_error::not_a_watcher:
        return "not_a_watcher";
    case write_error::bad_key:
        return "bad_key";
    case write_error::invalid:
        return "invalid";
    case write_error::too_large:
        return "too_large";
    case write_error::store_unavailable:
        return "store_unavailable";
    case write_error::unknown_outcome:
        return "unknown_outcome";
    }
    return "invalid";
}

namespace detail {

std::string with_writer_tag(std::string_view tag, std::string_view content)
{
    return fmt::format("{}{}\n{}", tag_prefix, tag, content);
}

std::pair<std::string_view, std::string_view> split_writer_tag(std::string_view value)
{
    if (!value.starts_with(tag_prefix))
        return {{}, value};
    const std::size_t end = value.find('\n');
    if (end == std::string_view::npos)
        return {{}, value};
    return {value.substr(tag_prefix.size(), end - tag_prefix.size()), value.substr(end + 1)};
}

} // namespace detail

/// The state of one write. It is owned by the pending callbacks of the write.
struct write_operation {
    write_request request;
    std::string tag;
    time_point started_at{};
    /// An earlier attempt of this write had no definite response and may have taken effect.
    bool outcome_is_unknown = false;
    write_callback done;
};

class config_writer::implementation : public std::enable_shared_from_this<implementation> {
public:
    using operation = std::shared_ptr<write_operation>;

    implementation(timer_service& timers, random_source& random, key_value_store& store, config_relay& relay,
                   const document_validator& validator)
        : m_timers(timers), m_random(random), m_store(store), m_relay(relay), m_validator(validator)
    {
    }

    void write(write_request request, write_callback done);
    void read(std::string_view key, std::function<void(leaf::result<std::optional<config_document>>)> done);

private:
    std::optional<write_failure> validate(const write_request& request) const;
    void put(const operation& current);
    void on_put(const operation& current, leaf::result<put_result> result);
    void on_conflict(const operation& current, const put_result& result);
    void schedule_read_back(const operation& current);
    void read_back(const operation& current);
    void on_read_back(const operation& current, leaf::result<range_result> result);
    void accept(const operation& current, std::int64_t revision);
    void report_conflict(const operation& current, const std::optional<store_entry>& current_entry,
                         std::int64_t revision);
    void fail(const operation& current, write_error error, std::string explanation);

    static config_document document_of(const store_entry& entry)
    {
        return {entry.key, std::string(detail::split_writer_tag(entry.value).second), entry.mod_revision, false};
    }

    timer_service& m_timers;
    random_source& m_random;
    key_value_store& m_store;
    config_relay& m_relay;
    const document_validator& m_validator;
};

std::optional<write_failure> config_writer::implementation::validate(const write_request& request) const
{
    if (!m_relay.is_watcher())
        return write_failure{write_error::not_a_watcher, "this node does not watch the store; ask a watcher"};
    if (!request.key.starts_with(documents_prefix) || request.key.size() == documents_prefix.size())
        return write_failure{write_error::bad_key, fmt::format("\"{}\" is not the key of a document", request.key)};
    if (!request.content)
        return std::nullopt;
    const std::size_t size = detail::with_writer_tag(std::string(16, '0'), *request.content).size();
    if (size > max_value_bytes) {
        return write_failure{write_error::too_large,
                             fmt::format("the document has {} bytes, the store takes {}", size, max_value_bytes)};
    }
    if (const auto problem = m_validator.problem(request.key, *request.content))
        return write_failure{write_error::invalid, *problem};
    return std::nullopt;
}

void config_writer::implementation::write(write_request request, write_callback done)
{
    auto current = std::make_shared<write_operation>();
    current->request = std::move(request);
    current->done = std::move(done);
    current->started_at = m_timers.now();
    current->tag = fmt::format("{:016x}", m_random.next());
    if (auto failure = validate(current->request)) {
        m_timers.schedule(duration{0}, [weak = weak_from_this(), current, failure] {
            if (const auto self = weak.lock())
                self->fail(current, failure->error, failure->explanation);
        });
        return;
    }
    put(current);
}

void config_writer::implementation::put(const operation& current)
{
    const auto on_response = [weak = weak_from_this(), current](leaf::result<put_result> result) {
        if (const auto self = weak.lock())
            self->on_put(current, std::move(result));
    };
    const write_request& request = current->request;
    if (!request.content)
        return m_store.remove_if(request.key, request.expected_revision, on_response);
    m_store.put_if(request.key, request.expected_revision, detail::with_writer_tag(current->tag, *request.content), 0,
                   on_response);
}

void config_writer::implementation::on_put(const operation& current, leaf::result<put_result> result)
{
    if (result) {
        m_relay.record_store_response();
        if (result->applied)
            return accept(current, result->revision);
        return on_conflict(current, *result);
    }
    const store_error error = leaf::try_handle_all([&]() -> leaf::result<store_error> { return result.error(); },
                                                   [](store_error reported) { return reported; },
                                                   [] { return store_error::unknown_outcome; });
    if (error == store_error::too_large)
        return fail(current, write_error::too_large, "the store refused the size of the document");
    if (error == store_error::unavailable && !current->outcome_is_unknown)
        return fail(current, write_error::store_unavailable, "the store was not reached; nothing was written");
    current->outcome_is_unknown = true;
    schedule_read_back(current);
}

void config_writer::implementation::on_conflict(const operation& current, const put_result& result)
{
    const bool is_own_write = result.current && detail::split_writer_tag(result.current->value).first == current->tag;
    if (is_own_write)
        return accept(current, result.current->mod_revision);
    const bool is_own_deletion = current->outcome_is_unknown && !current->request.content && !result.current;
    if (is_own_deletion)
        return accept(current, result.revision);
    report_conflict(current, result.current, result.revision);
}

void config_writer::implementation::schedule_read_back(const operation& current)
{
    if (m_timers.now() - current->started_at > outcome_timeout) {
        return fail(current, write_error::unknown_outcome,
                    "the store did not say whether the write took effect; read the document before another try");
    }
    m_timers.schedule(read_back_interval, [weak = weak_from_this(), current] {
        if (const auto self = weak.lock())
            self->read_back(current);
    });
}

void config_writer::implementation::read_back(const operation& current)
{
    m_store.get(current->request.key, [weak = weak_from_this(), current](leaf::result<range_result> result) {
        if (const auto self = weak.lock())
            self->on_read_back(current, std::move(result));
    });
}

void config_writer::implementation::on_read_back(const operation& current, leaf::result<range_result> result)
{
    if (!result)
        return schedule_read_back(current);
    m_relay.record_store_response();
    put_result as_conflict{false, result->revision, std::nullopt};
    if (!result->entries.empty())
        as_conflict.current = result->entries.front();
    const std::int64_t current_revision = as_conflict.current ? as_conflict.current->mod_revision : 0;
    // The earlier attempt may still reach the store. Repeating it is safe, because both attempts expect the same
    // revision and only one of them can take effect.
    if (current_revision == current->request.expected_revision)
        return put(current);
    on_conflict(current, as_conflict);
}

void config_writer::implementation::accept(const operation& current, std::int64_t revision)
{
    const write_request& request = current->request;
    log_info(log_part, "Accepted document {} with revision {}.", request.key, revision);
    m_relay.accept({request.key, request.content.value_or(""), revision, !request.content});
    current->done(write_result{true, revision, std::nullopt});
}

void config_writer::implementation::report_conflict(const operation& current,
                                                    const std::optional<store_entry>& current_entry,
                                                    std::int64_t revision)
{
    write_result result{false, revision, std::nullopt};
    if (current_entry)
        result.current = document_of(*current_entry);
    current->done(std::move(result));
}

void config_writer::implementation::fail(const operation& current, write_error error, std::string explanation)
{
    current->done(captured_error<write_result>(write_failure{error, std::move(explanation)}));
}

void config_writer::implementation::read(std::string_view key,
                                         std::function<void(leaf::result<std::optional<config_document>>)> done)
{
    m_store.get(key, [weak = weak_from_this(), done = std::move(done)](leaf::result<range_result> result) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (!result) {
            return done(captured_error<std::optional<config_document>>(
                write_failure{write_error::store_unavailable, "the store was not reached"}));
        }
        self->m_relay.record_store_response();
        if (result->entries.empty())
            return done(std::optional<config_document>());
        done(std::optional(document_of(result->entries.front())));
    });
}

config_writer::config_writer(timer_service& timers, random_source& random, key_value_store& store, config_relay& relay,
                             const document_validator& validator)
    : m_implementation(std::make_shared<implementation>(timers, random, store, relay, validator))
{
}

config_writer::~config_writer() = default;

void config_writer::write(write_request request, write_callback done)
{
    m_implementation->write(std::move(request), std::move(done));
}

void config_writer::read(std::string_view key, std::function<void(leaf::result<std::optional<config_document>>)> done)
{
    m_implementation->read(key, std::move(done));
}

} // namespace mulberry
