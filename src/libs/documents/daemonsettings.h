#pragma once

#include "libs/base/log.h"
#include "libs/base/time.h"
#include "libs/documents/documenterrors.h"
#include "libs/documents/endpoints.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf.hpp>

namespace mulberry {

namespace leaf = boost::leaf;

/// Another daemon to join at the start. The name is required because the daemon's certificate is checked against it;
/// the endpoint is that of its peer listener.
struct daemon_seed {
    std::string node_name;
    network_endpoint endpoint;

    auto operator<=>(const daemon_seed&) const = default;
};

/// What a second termination signal does while the daemon drains.
enum class second_signal_action : std::uint8_t {
    ignore, // the drain continues
    cut,    // requests in flight receive an error response and the daemon exits
};

/// Settings of one daemon. They do not change while it runs.
struct daemon_settings {
    /// Unique in the fleet.
    std::string node_name;
    std::string failure_domain;
    /// All failure domains of the deployment, including the daemon's own.
    std::vector<std::string> failure_domains;
    std::string region;
    /// The service of the upstream beside the daemon.
    std::string service;
    /// Base URL of the upstream, "http://address:port".
    std::string upstream_url;

    network_endpoint callers_listen;
    network_endpoint nested_listen;
    /// Disabled if the address is empty; the daemon then has no peers.
    network_endpoint peers_listen;
    /// Disabled if the address is empty.
    network_endpoint operators_listen;
    /// Address at which other daemons reach this one. It is empty if peers_listen is disabled; otherwise it has an
    /// address and a port, and the address is not a wildcard.
    network_endpoint peers_advertised;

    /// PEM files for mutual TLS between daemons. Required if peers_listen is enabled.
    std::string peer_ca_file;
    std::string peer_certificate_file;
    std::string peer_private_key_file;
    /// The store is held in the memory of this process and starts empty. Suitable only for a single machine.
    bool store_in_memory = false;
    /// Base URLs of the store's gateway, tried in this order. Empty if store_in_memory is set.
    std::vector<std::string> store_endpoints;
    duration store_timeout{0};
    /// Other daemons to join at the start.
    std::vector<daemon_seed> seeds;
    /// Document files that are loaded at the start. Allowed only if store_in_memory is set.
    std::vector<std::string> document_files;

    duration drain_limit{0};
    second_signal_action second_signal = second_signal_action::cut;
    log_level level = log_level::info;
    /// File with the bearer credential of the operators' API. Required if operators_listen is enabled.
    std::string operator_credential_file;

    std::uint32_t caller_connections = 0;
    std::uint32_t upstream_connections = 0;
    std::size_t header_cap_bytes = 0;
    std::size_t message_memory_bytes = std::size_t{64} * 1024 * 1024;
    std::size_t account_memory_bytes = 0;
    std::size_t idempotency_memory_bytes = 0;

    bool operator==(const daemon_settings&) const = default;
};

/// Result of parsing the command line of the daemon.
struct daemon_command_line {
    enum class action : std::uint8_t { run, show_help, show_settings_reference };

    action requested_action = action::run;
    /// Complete and validated if the action is `run`; otherwise default-constructed.
    daemon_settings settings;
};

/// Parses and validates the text of a settings file, without a command line. Fails with document_errors.
leaf::result<daemon_settings> parse_daemon_settings(std::string_view text, std::string_view file);

/// Reads the command line (without the program's name) and the settings file that the option --settings names. An
/// option
/// "--KEY VALUE" overrides the value of the key in the file. An option for a list may be repeated, once per element.
/// Fails with document_errors, in which errors in arguments have the file name "command line".
leaf::result<daemon_command_line> parse_daemon_command_line(std::span<const std::string> arguments);

/// Returns a Markdown table of all settings (name, unit, default, meaning), generated from the table that the parser
/// uses.
std::string settings_reference();

/// Returns the text of --help, generated from the same table.
std::string daemon_usage();

} // namespace mulberry
