#pragma once

namespace verbena {

// Keeps SIGTERM, SIGINT and SIGHUP pending until release_signals(). Called at the start of a server process,
// before other threads: by default each of them would end the process while it still reads its settings.
void hold_signals();

// Lets the process handle the signals, those that have come meanwhile too. Called once it has handlers.
void release_signals();

// Whether a held signal asks the process to stop.
bool stop_requested();

} // namespace verbena
