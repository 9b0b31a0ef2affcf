#include "libs/store/revision.h"

#include <fmt/format.h>

namespace mulberry {

namespace {

constexpr int generation_shift = 40;
constexpr std::int64_t store_revision_mask = (std::int64_t{1} << generation_shift) - 1;

} // namespace

std::int64_t make_revision(std::int64_t generation, std::int64_t store_revision)
{
    return (generation << generation_shift) | (store_revision & store_revision_mask);
}

std::int64_t generation_of(std::int64_t revision)
{
    return revision >> generation_shift;
}

std::int64_t store_revision_of(std::int64_t revision)
{
    return revision & store_revision_mask;
}

std::string format_revision(std::int64_t revision)
{
    const std::int64_t generation = generation_of(revision);
    if (generation == 0)
        return fmt::to_string(revision);
    return fmt::format("{}/{}", generation, store_revision_of(revision));
}

} // namespace mulberry
