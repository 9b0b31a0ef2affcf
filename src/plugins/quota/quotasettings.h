#pragma once

#include "libs/base/time.h"

#include <string>

namespace mulberry {

/// Rate limit of an organisation over all nodes: requests per second, and burst in requests. A rate of 0 means no
/// limit.
struct quota_limit {
    std::string organisation;
    double rate = 0;
    double burst = 0;

    bool operator==(const quota_limit&) const = default;
};

struct quota_settings {
    /// Interval between the reports of a node to the coordinator. Reports are sent even without demand.
    duration report_period{std::chrono::milliseconds(500)};
    /// Nodes request tokens in advance for the demand of this time.
    duration prefetch_time{std::chrono::milliseconds(400)};
    /// Granted tokens that are not used within this time are discarded. So are grants for reports older than this.
    duration token_lifetime{std::chrono::milliseconds(1500)};
    /// A request whose grant has not arrived after this time takes a token of the even share, if there is one.
    duration grant_timeout{std::chrono::milliseconds(90)};
    /// Maximum time that a request waits for a token. It covers a retransmission of the report or of the grant.
    duration max_wait{std::chrono::milliseconds(320)};
    /// A node whose reports the coordinator has not answered for this time uses its even share of each rate. Before
    /// that, tokens of the even share are only borrowed.
    duration fallback_after{std::chrono::milliseconds(1500)};
    /// The coordinator withholds the even share of each node that has not reported for this time, or whose reports say
    /// that answers are missing for this time. It must be shorter than `fallback_after`, so that the coordinator does
    /// not grant tokens that such a node already uses.
    duration silent_after{std::chrono::milliseconds(1000)};
    /// For this time after a grant that did not cover all waiting requests, new requests are refused at once.
    duration exhausted_time{std::chrono::milliseconds(150)};
    /// For this time after a node became the coordinator, reports tell it the levels that an earlier one has left. It
    /// must cover a report of each node.
    duration learning_time{std::chrono::milliseconds(1500)};
    /// Nodes forget the level that a coordinator named after this time, in which it has changed too much.
    duration level_lifetime{std::chrono::seconds(10)};
    /// Initial tokens of a bucket whose level no node knows, as seconds of the rate. The bucket does not start full
    /// because the tokens granted by the previous coordinator are unknown.
    double initial_seconds = 0.5;
    /// Initial tokens of the even shares, as the sum over all nodes.
    double initial_even_share_tokens = 12;
};

} // namespace mulberry
