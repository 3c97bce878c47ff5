#pragma once

namespace verbena {

// Version and commit of this program, such as "0.1.0+0fb4e1b"; without the commit when built outside a
// repository.
const char* version();

} // namespace verbena
