#pragma once

#include "route/document.h"

namespace verbena::policy {

// For whose entries one scheduler chooses the endpoints.
enum class scheduling_scope : std::uint8_t { domain, deployment };

const char* to_string(scheduling_scope value);

// The choices that one scheduler of a whole deployment would make when all slots are in use.
class scheduling_load {
public:
    void add(const route::service_rule& service, std::size_t endpoints);

    // Whether slots are scarce in any of the services that have endpoints.
    bool slots_are_scarce() const { return m_slots_are_scarce; }

    // Processor time that the choices take, in thousandths of a core.
    double processor_share() const { return m_processor_share; }

private:
    bool m_slots_are_scarce = false;
    double m_processor_share = 0;
};

// Load: services whose slots run out. One scheduler of all failure domains knows each of its choices at once,
// and leaves no slot free for others. It is used while the choices take a small part of the processor time
// of the process that makes them, `available` thousandths of a core (0 = not known, a whole one). All
// processes know the same lists and come to the same verdict; `current` keeps them from changing it with each
// endpoint.
scheduling_scope choose_scope(const scheduling_load& load, std::uint32_t available, scheduling_scope current);

} // namespace verbena::policy
