#pragma once

#include "libs/base/controllink.h"
#include "libs/base/periodictimer.h"
#include "plugins/entry/ratelimiter.h"
#include "plugins/membership/memberdirectory.h"
#include "plugins/quota/quotakeeper.h"
#include "plugins/quota/quotapocket.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mulberry {

/// Holds organisations to their rates over all nodes. The node with the lowest name is the keeper of all tokens; every
/// node fetches tokens ahead of its demand and waits shortly for more. A node that cannot hear the keeper uses its even
/// share of each rate, which the keeper holds back meanwhile.
class quota_service final : public rate_limiter, public control_handler {
public:
    quota_service(const quota_settings& settings, std::string own_name, timer_service& timers,
                  const member_directory& members, control_link& control);
    ~quota_service() override;

    void set_limits(std::vector<quota_limit> limits);

    void admit(std::string_view organisation, std::function<void(std::optional<refusal>)> done) override;
    void on_message(std::string_view from, std::string_view payload) override;

private:
    using pocket = detail::quota_pocket;

    std::string keeper() const;
    void report();
    void ask(const std::string& organisation, pocket& subject);
    void send(quota_report message);
    void on_grant(const quota_grant& grant);
    void serve(pocket& subject);
    void refuse_waiters(pocket& subject, time_point waiting_since);
    void arm_wait(const std::string& organisation);
    bool hears_keeper() const;
    refusal over_rate(const pocket& subject) const;

    quota_settings m_settings;
    std::string m_own_name;
    timer_service& m_timers;
    const member_directory& m_members;
    control_link& m_control;
    quota_keeper m_keeper;
    std::map<std::string, quota_limit, std::less<>> m_limits;
    std::map<std::string, pocket, std::less<>> m_pockets;
    std::string m_last_keeper;
    time_point m_keeper_heard;
    bool m_fell_back = false;
    std::uint64_t m_sequence = 0;
    periodic_timer m_report_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace mulberry
