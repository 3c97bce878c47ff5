#include <cstdio>

int main()
{
    std::puts("verbenaproxy " VERBENA_VERSION);
    return 0;
}
