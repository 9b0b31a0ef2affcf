#include "tools/overloadexperiment/requestqueue.h"

namespace mulberry {

void fifo_request_queue::offer(admission_request request)
{
    if (m_free_slots > 0) {
        --m_free_slots;
        return m_listener.on_admitted(request.id);
    }
    if (m_waiting_attempts.size() >= m_queue_limit)
        return m_listener.on_refused(request.id, not_run_refusal(refusal_reason::queue_full));
    m_waiting_attempts.push_back(request.id);
}

void fifo_request_queue::on_finished(const attempt_id&, duration, finish_result)
{
    if (m_waiting_attempts.empty()) {
        ++m_free_slots;
        return;
    }
    const attempt_id next = m_waiting_attempts.front();
    m_waiting_attempts.pop_front();
    m_listener.on_admitted(next);
}

} // namespace mulberry
