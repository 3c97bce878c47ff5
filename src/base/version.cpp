#include "base/version.h"

namespace verbena {

const char* version()
{
    return VERBENA_VERSION;
}

} // namespace verbena
