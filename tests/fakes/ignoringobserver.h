#pragma once

#include "plugins/calls/requestobserver.h"

namespace mulberry {

/// Ignores all decisions.
class ignoring_observer final : public request_observer {
public:
    void on_finished(const decision_record&) override {}
    void on_retry_decision(refusal_reason, std::optional<retry_refusal>) override {}
};

} // namespace mulberry
