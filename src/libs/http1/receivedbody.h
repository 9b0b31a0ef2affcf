#pragma once

#include "libs/memory/receivebuffer.h"

#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace mulberry::detail {

/// A body that is received into a string with make_room().
struct received_body {
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
    public:
        template <bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>&, value_type& body) : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& error)
        {
            if (length && *length < max_body_bytes)
                m_expected_bytes = static_cast<std::size_t>(*length);
            error = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            make_room(m_body, boost::beast::buffer_bytes(buffers), m_expected_bytes);
            std::size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            error = {};
            return count;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        static constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;

        value_type& m_body;
        std::size_t m_expected_bytes = max_body_bytes;
    };
};

} // namespace mulberry::detail
