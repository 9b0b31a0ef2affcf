#include "libs/memory/allocator.h"

#include <malloc.h>

namespace mulberry {

void return_freed_memory_to_system()
{
    constexpr int separate_block_bytes = 128 * 1024;
    constexpr int max_free_top_bytes = 256 * 1024;
    mallopt(M_MMAP_THRESHOLD, separate_block_bytes);
    mallopt(M_TRIM_THRESHOLD, max_free_top_bytes);
}

} // namespace mulberry
