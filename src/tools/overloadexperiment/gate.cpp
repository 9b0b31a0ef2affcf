#include "tools/overloadexperiment/gate.h"

namespace mulberry {

void fifo_gate::offer(admission_request request)
{
    if (m_free > 0) {
        --m_free;
        return m_listener.on_admitted(request.id);
    }
    if (m_waiting.size() >= m_queue_limit)
        return m_listener.on_refused(request.id, not_run(refusal_reason::queue_full));
    m_waiting.push_back(request.id);
}

void fifo_gate::finished(const attempt_id&, duration, finish_result)
{
    if (m_waiting.empty()) {
        ++m_free;
        return;
    }
    const attempt_id next = m_waiting.front();
    m_waiting.pop_front();
    m_listener.on_admitted(next);
}

} // namespace mulberry
