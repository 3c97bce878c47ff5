#include "base/held_signals.h"

#include <csignal>
#include <initializer_list>

namespace verbena {

namespace {

sigset_t held_set()
{
    sigset_t set{};
    sigemptyset(&set);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&set, number);
    }
    return set;
}

} // namespace

void hold_signals()
{
    const sigset_t set = held_set();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void release_signals()
{
    const sigset_t set = held_set();
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

bool stop_requested()
{
    sigset_t pending{};
    return sigpending(&pending) == 0 &&
           (sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1);
}

} // namespace verbena
