#pragma once

#include "libs/memory/memorybudget.h"

#include <concepts>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace mulberry {

/// Immutable bytes of a message. Copies share the bytes, so a body is held once while it passes through the process,
/// and its memory counts against the budget until the last copy is released.
class message_body {
public:
    message_body() = default;
    /// Bytes that count against no budget.
    message_body(std::string bytes) : message_body(std::move(bytes), memory_reservation()) {} // NOLINT: a body is text
    message_body(const char* text) : message_body(std::string(text)) {}                       // NOLINT: a body is text
    /// The reservation covers the bytes and whatever else is held as long as they are.
    message_body(std::string bytes, memory_reservation reservation)
        : m_storage(std::make_shared<storage>(storage{std::move(bytes), std::move(reservation)})),
          m_view(m_storage->bytes)
    {
    }

    /// Returns the bytes from `offset` on.
    message_body suffix(std::size_t offset) const
    {
        message_body result = *this;
        result.m_view = m_view.substr(offset);
        return result;
    }

    /// Adds a reservation that is held as long as the body.
    void attach(memory_reservation reservation)
    {
        if (m_storage == nullptr)
            *this = message_body(std::string());
        m_storage->reservation = std::move(reservation);
    }

    /// Enlarges the reservation of all copies by this number of bytes. Returns false if the budget is exhausted.
    bool reserve_more(std::size_t bytes) const
    {
        return m_storage == nullptr || m_storage->reservation.resize(m_storage->reservation.bytes() + bytes);
    }

    std::string_view view() const { return m_view; }
    operator std::string_view() const { return m_view; } // NOLINT: a body is text
    const char* data() const { return m_view.data(); }
    std::size_t size() const { return m_view.size(); }
    bool empty() const { return m_view.empty(); }
    auto begin() const { return m_view.begin(); }
    auto end() const { return m_view.end(); }

    template <std::convertible_to<std::string_view> Text>
    friend bool operator==(const message_body& left, const Text& right)
    {
        return left.m_view == std::string_view(right);
    }
    friend std::ostream& operator<<(std::ostream& out, const message_body& body) { return out << body.m_view; }

private:
    struct storage {
        std::string bytes;
        memory_reservation reservation;
    };

    std::shared_ptr<storage> m_storage;
    std::string_view m_view;
};

} // namespace mulberry
