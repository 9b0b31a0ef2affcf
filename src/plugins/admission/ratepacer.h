#pragma once

#include "libs/base/time.h"

#include <optional>

namespace mulberry::detail {

/// Spaces admissions so that they do not exceed a rate. Without a rate everything is allowed.
class rate_pacer {
public:
    explicit rate_pacer(time_point now) : m_updated_at(now) {}

    /// Sets the number of admissions per second; empty for no limit.
    void set_rate(time_point now, std::optional<double> per_second);

    bool is_limited() const { return m_rate.has_value(); }
    /// The rate in force; only called while limited.
    double rate() const { return *m_rate; }
    /// Whether one more admission is allowed now.
    bool allows(time_point now) const { return time_until(now, 1) <= duration{0}; }
    /// Time until this number of further admissions is allowed.
    duration time_until(time_point now, double admissions) const;
    void on_admitted(time_point now);

private:
    double tokens(time_point now) const;
    double capacity() const;

    std::optional<double> m_rate;
    double m_tokens = 0;
    time_point m_updated_at;
};

} // namespace mulberry::detail
