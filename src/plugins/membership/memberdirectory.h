#pragma once

#include "plugins/membership/member.h"

#include <span>

namespace mulberry {

/// Is notified of changes of members, after the directory has changed. A callback may read the directory but must not
/// add or remove listeners.
class member_listener {
public:
    member_listener() = default;
    member_listener(const member_listener&) = delete;
    member_listener& operator=(const member_listener&) = delete;
    virtual ~member_listener() = default;

    /// A member was added, a field of its record (state, address, epoch for idempotency keys) has changed, or it was
    /// removed (state dead).
    virtual void on_member_changed(const member& changed) = 0;
};

/// One node's list of the members. Returned spans and pointers are valid until the next change.
class member_directory {
public:
    member_directory() = default;
    member_directory(const member_directory&) = delete;
    member_directory& operator=(const member_directory&) = delete;
    virtual ~member_directory() = default;

    /// All members that are not dead, including the own node, ordered by service and name.
    virtual std::span<const member> members() const = 0;
    /// The members of one service, ordered by name.
    virtual std::span<const member> members_of(std::string_view service) const = 0;
    /// The member with this name if it is not dead, or null.
    virtual const member* find(std::string_view name) const = 0;

    virtual void add_listener(member_listener& listener) = 0;
    virtual void remove_listener(member_listener& listener) = 0;
};

} // namespace mulberry
