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

/// Another daemon by name, because its certificate is checked for the name, and where its peer port is.
struct daemon_seed {
    std::string node_name;
    network_endpoint endpoint;

    auto operator<=>(const daemon_seed&) const = default;
};

/// What a second termination signal does while the daemon drains.
enum class second_signal_action : std::uint8_t {
    ignore, // the drain goes on
    cut,    // what is in flight is answered as an error and the daemon exits
};

/// Settings of one daemon, fixed for its run.
struct daemon_settings {
    /// Unique in the fleet.
    std::string node_name;
    std::string failure_domain;
    /// Every failure domain of the deployment, the own one included.
    std::vector<std::string> failure_domains;
    std::string region;
    /// The service of the upstream beside the daemon.
    std::string service;
    /// Base URL of the upstream, "http://address:port".
    std::string upstream_url;

    network_endpoint callers_listen;
    network_endpoint nested_listen;
    /// Off when the address is empty; the daemon then has no peers.
    network_endpoint peers_listen;
    /// Off when the address is empty.
    network_endpoint operators_listen;
    /// Where other daemons reach this one; empty without peers_listen, otherwise complete and not a wildcard address.
    network_endpoint peers_advertised;

    /// Mutual TLS between daemons, PEM. Present with peers_listen.
    std::string peer_ca_file;
    std::string peer_certificate_file;
    std::string peer_private_key_file;
    /// The store lives in this process and starts empty; for a single machine.
    bool store_in_memory = false;
    /// Base URLs of the store's gateway, tried in this order; empty with store_in_memory.
    std::vector<std::string> store_endpoints;
    duration store_timeout{0};
    /// Other daemons to join at the start.
    std::vector<daemon_seed> seeds;
    /// Documents loaded at the start when the store is in memory.
    std::vector<std::string> document_files;

    duration drain_limit{0};
    second_signal_action second_signal = second_signal_action::cut;
    log_level level = log_level::info;
    /// File with the bearer credential of the operators' API; present with operators_listen.
    std::string operator_credential_file;

    std::uint32_t caller_connections = 0;
    std::uint32_t upstream_connections = 0;
    std::size_t header_cap_bytes = 0;
    std::size_t account_memory_bytes = 0;
    std::size_t once_memory_bytes = 0;

    bool operator==(const daemon_settings&) const = default;
};

/// What a command line asks of the daemon.
struct daemon_command_line {
    enum class action : std::uint8_t { run, show_help, show_settings_reference };

    action wanted = action::run;
    /// Complete and checked if the action is run.
    daemon_settings settings;
};

/// Parses and checks the text of a settings file alone. Fails with document_errors.
leaf::result<daemon_settings> parse_daemon_settings(std::string_view text, std::string_view file);

/// Reads the command line (without the program's name) and the settings file that it names with --settings. An option
/// "--KEY VALUE" replaces the key of the file; lists take the option several times. Fails with document_errors, in
/// which arguments have the file name "command line".
leaf::result<daemon_command_line> parse_daemon_command_line(std::span<const std::string> arguments);

/// Table of all settings (name, unit, default, meaning) in Markdown, from the table that the parser uses.
std::string settings_reference();

/// Text of --help, from the same table.
std::string daemon_usage();

} // namespace mulberry
