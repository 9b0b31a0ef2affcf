#include "tools/standinupstream/upstreamsettings.h"

#include "libs/documents/units.h"

#include <sstream>

#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mulberry {

namespace {

namespace po = boost::program_options;
using nlohmann::json;

po::options_description options_description()
{
    po::options_description options("Options");
    auto add = options.add_options();
    const auto text = [] { return po::value<std::string>(); };
    add("help", "Shows this text.");
    add("address", text(), "IPv4 address (default 127.0.0.1).");
    add("port", po::value<std::uint16_t>(), "Port; 0, the default, selects a free one and prints it.");
    add("slots", po::value<std::uint32_t>(), "Requests that run at a time (default 120).");
    add("latency", text(), "Processing time of a request in its slot, such as 20ms (default).");
    add("spread", po::value<double>(), "Maximum deviation of the latency as a fraction of it, 0 to 1 (default 0).");
    add("failure-rate", po::value<double>(), "Fraction of the requests that fail, 0 to 1 (default 0).");
    add("failure-status", po::value<int>(), "Status of failed requests (default 500).");
    add("health", text(), "honest (default), always-healthy or always-failing.");
    add("refuse-when-full", po::bool_switch(), "Responds with 503 instead of waiting for a slot.");
    add("cold-start", text(), "Duration of slower requests after the start (default 0s).");
    add("cold-factor", po::value<double>(), "Factor of the latency right after the start (default 5).");
    add("daemon", text(), "Base URL of the daemon that receives the nested calls.");
    add("nested", po::value<std::vector<std::string>>(), "Nested call \"METHOD /service/rest\"; may be repeated.");
    add("nested-timeout", text(), "Time limit of a nested call (default 30s).");
    add("drain-limit", text(), "Maximum wait for running requests at the end (default 30s).");
    add("seed", po::value<std::uint64_t>(), "Seed of latencies and failures (default 1).");
    return options;
}

/// Copies options that are present into the settings. Throws po::error or std::invalid_argument for an invalid value.
class option_reader {
public:
    explicit option_reader(const po::variables_map& variables) : m_variables(variables) {}

    template <typename Value>
    void read(const char* name, Value& target) const
    {
        if (m_variables.contains(name))
            target = m_variables[name].as<Value>();
    }

    void read_duration(const char* name, duration& target) const
    {
        std::string text;
        read(name, text);
        if (text.empty())
            return;
        const auto interval = parse_duration(text);
        if (!interval)
            throw std::invalid_argument(fmt::format("--{}: \"{}\" is not a time with a unit", name, text));
        target = *interval;
    }

    void read_fraction(const char* name, double& target) const
    {
        read(name, target);
        if (!(target >= 0 && target <= 1))
            throw std::invalid_argument(fmt::format("--{}: must be from 0 to 1", name));
    }

private:
    const po::variables_map& m_variables;
};

/// Parses a list of nested calls. Throws std::invalid_argument if a text is not "METHOD /service/rest".
std::vector<nested_call> parse_nested_calls(const std::vector<std::string>& texts)
{
    std::vector<nested_call> calls;
    for (const std::string& text : texts) {
        const auto call = parse_nested_call(text);
        if (!call)
            throw std::invalid_argument(fmt::format("nested: \"{}\" is not \"METHOD /service/rest\"", text));
        calls.push_back(*call);
    }
    return calls;
}

void read_behaviour(const option_reader& reader, upstream_behaviour& behaviour)
{
    reader.read_duration("latency", behaviour.latency);
    reader.read_fraction("spread", behaviour.spread);
    reader.read_fraction("failure-rate", behaviour.failure_rate);
    reader.read("failure-status", behaviour.failure_status);
    reader.read("refuse-when-full", behaviour.refuse_when_full);
    std::string health = "honest";
    reader.read("health", health);
    const auto mode = health_mode_from_string(health);
    if (!mode)
        throw std::invalid_argument("--health: must be honest, always-healthy or always-failing");
    behaviour.health = *mode;
    std::vector<std::string> nested;
    reader.read("nested", nested);
    behaviour.nested = parse_nested_calls(nested);
}

upstream_settings settings_from(const po::variables_map& variables)
{
    upstream_settings settings;
    const option_reader reader(variables);
    reader.read("address", settings.address);
    reader.read("port", settings.port);
    reader.read("slots", settings.slots);
    reader.read_duration("cold-start", settings.cold_start);
    reader.read("cold-factor", settings.cold_factor);
    reader.read("daemon", settings.behaviour.daemon_url);
    reader.read_duration("nested-timeout", settings.nested_timeout);
    reader.read_duration("drain-limit", settings.drain_limit);
    reader.read("seed", settings.seed);
    read_behaviour(reader, settings.behaviour);
    if (settings.slots == 0)
        throw std::invalid_argument("--slots: must be at least 1");
    if (!settings.behaviour.nested.empty() && settings.behaviour.daemon_url.empty())
        throw std::invalid_argument("--nested: needs --daemon");
    return settings;
}

/// Changes one member. Throws json::exception for a value of a wrong type, and std::invalid_argument for an invalid
/// value or an unknown member.
void change_member(upstream_behaviour& behaviour, const std::string& name, const json& value)
{
    const auto fraction = [&] {
        const auto number = value.get<double>();
        if (!(number >= 0 && number <= 1))
            throw std::invalid_argument(name + " must be from 0 to 1");
        return number;
    };
    if (name == "latency") {
        const auto interval = parse_duration(value.get<std::string>());
        if (!interval)
            throw std::invalid_argument("latency must be a time with a unit");
        behaviour.latency = *interval;
    }
    else if (name == "spread") {
        behaviour.spread = fraction();
    }
    else if (name == "failure_rate") {
        behaviour.failure_rate = fraction();
    }
    else if (name == "failure_status") {
        behaviour.failure_status = value.get<int>();
    }
    else if (name == "refuse_when_full") {
        behaviour.refuse_when_full = value.get<bool>();
    }
    else if (name == "health") {
        const auto mode = health_mode_from_string(value.get<std::string>());
        if (!mode)
            throw std::invalid_argument("health must be honest, always-healthy or always-failing");
        behaviour.health = *mode;
    }
    else if (name == "daemon_url") {
        behaviour.daemon_url = value.get<std::string>();
    }
    else if (name == "nested") {
        behaviour.nested = parse_nested_calls(value.get<std::vector<std::string>>());
    }
    else {
        throw std::invalid_argument(name + " is not a known member");
    }
}

} // namespace

std::optional<health_mode> health_mode_from_string(std::string_view name)
{
    if (name == "honest")
        return health_mode::honest;
    if (name == "always-healthy")
        return health_mode::always_healthy;
    if (name == "always-failing")
        return health_mode::always_failing;
    return std::nullopt;
}

std::optional<nested_call> parse_nested_call(std::string_view text)
{
    const std::size_t space = text.find(' ');
    if (space == 0 || space == std::string_view::npos || !text.substr(space + 1).starts_with('/'))
        return std::nullopt;
    return nested_call{std::string(text.substr(0, space)), std::string(text.substr(space + 1))};
}

upstream_command_line parse_upstream_command_line(std::span<const std::string> arguments)
{
    const po::options_description options = options_description();
    try {
        po::variables_map variables;
        const po::positional_options_description no_positional;
        po::store(po::command_line_parser(std::vector(arguments.begin(), arguments.end()))
                      .options(options)
                      .positional(no_positional)
                      .run(),
                  variables);
        if (variables.contains("help")) {
            std::ostringstream text;
            text << "Usage: standinupstream [options]\n\n" << options;
            return {text.str(), true, {}};
        }
        return {{}, true, settings_from(variables)};
    }
    catch (const std::exception& error) {
        return {fmt::format("standinupstream: {}\n", error.what()), false, {}};
    }
}

std::string change_behaviour(upstream_behaviour& behaviour, std::string_view json_text)
{
    upstream_behaviour changed = behaviour;
    try {
        const json members = json::parse(json_text);
        if (!members.is_object())
            return "must be a JSON object";
        for (const auto& [name, value] : members.items())
            change_member(changed, name, value);
    }
    catch (const std::exception& error) {
        return error.what();
    }
    behaviour = changed;
    return {};
}

} // namespace mulberry
