#pragma once

#include "app/node/node.h"
#include "libs/http/httpserver.h"

namespace mulberry {

/// Gives callers' requests to the entry once the node is ready.
class caller_frontend final : public http_handler {
public:
    explicit caller_frontend(node& owner) : m_node(owner) {}

    void on_request(http_server_request request, std::shared_ptr<http_responder> responder) override;

private:
    node& m_node;
};

/// Gives nested calls of the upstream to the entry, with the running call that their token names.
class nested_frontend final : public http_handler {
public:
    explicit nested_frontend(node& owner) : m_node(owner) {}

    void on_request(http_server_request request, std::shared_ptr<http_responder> responder) override;

private:
    node& m_node;
};

} // namespace mulberry
