#pragma once

#include "forward/inactivity_limits.h"

namespace verbena::forward {

// Progress of a streamed answer, for the decision when its endpoint counts as silent or its answer as broken.
class event_progress {
public:
    event_progress(time_point begin, inactivity_limits limits)
        : m_limits(limits), m_last_event(begin), m_last_bytes(begin), m_unfinished_since(begin)
    {
    }

    // Bytes have arrived; `completes_event`: with them at least one event is complete.
    void on_bytes(time_point now, bool completes_event);

    // When the endpoint counts as silent unless an event is complete before. Single bytes do not show that an
    // endpoint makes progress.
    time_point silent_at() const;

    // Whether bytes of one event arrive without end. An endpoint that pauses in the middle of an event sends
    // nothing meanwhile.
    bool is_endless() const;

private:
    inactivity_limits m_limits;
    time_point m_last_event;
    time_point m_last_bytes;
    time_point m_unfinished_since; // start of the bytes that have arrived without a pause or a complete event
    bool m_has_event = false;
};

} // namespace verbena::forward
