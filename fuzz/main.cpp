#include "fuzz/targets.h"

// Entry point that libFuzzer calls. libFuzzer prescribes the name, which breaks the naming rule of the
// linter; hence the two NOLINT. fuzz/run.sh defines VERBENA_FUZZ_TARGET as the function of the target.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size); // NOLINT

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT
{
    verbena::fuzz::VERBENA_FUZZ_TARGET({data, size});
    return 0;
}
