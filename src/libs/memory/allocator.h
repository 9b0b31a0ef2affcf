#pragma once

namespace mulberry {

/// Makes the allocator give the memory of freed messages back to the system at once. By default it raises the size from
/// which it does so up to 32 MiB, and keeps what smaller messages have used.
void return_freed_memory_to_system();

} // namespace mulberry
