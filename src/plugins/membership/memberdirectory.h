#pragma once

#include "plugins/membership/member.h"

#include <span>

namespace mulberry {

/// Hears of changes of members. Callbacks come after the directory has changed; a callback may read the directory but
/// must not add or remove listeners.
class member_listener {
public:
    member_listener() = default;
    member_listener(const member_listener&) = delete;
    member_listener& operator=(const member_listener&) = delete;
    virtual ~member_listener() = default;

    /// A member is new, has another state, address or once epoch, or is gone (state dead).
    virtual void on_member_changed(const member& changed) = 0;
};

/// The members as one node knows them. Spans and pointers are valid until the next change.
class member_directory {
public:
    member_directory() = default;
    member_directory(const member_directory&) = delete;
    member_directory& operator=(const member_directory&) = delete;
    virtual ~member_directory() = default;

    /// All members that are not dead, the own node among them, ordered by service and name.
    virtual std::span<const member> members() const = 0;
    /// The members of one service, ordered by name.
    virtual std::span<const member> members_of(std::string_view service) const = 0;
    /// A member that is not dead, or null.
    virtual const member* find(std::string_view name) const = 0;

    virtual void add_listener(member_listener& listener) = 0;
    virtual void remove_listener(member_listener& listener) = 0;
};

} // namespace mulberry
