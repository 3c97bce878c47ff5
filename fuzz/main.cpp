#include "fuzz/targets.h"

// Entry point of libFuzzer, which prescribes its name in another case than ours; hence the two NOLINT.
// VERBENA_FUZZ_TARGET is the function of the target, set by fuzz/run.sh.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size); // NOLINT

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT
{
    verbena::fuzz::VERBENA_FUZZ_TARGET({data, size});
    return 0;
}
