#pragma once

/// A Cap'n Proto byte stream over an Asio socket.

#include <kj/async-io.h>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "medlarloft/base.hpp"

namespace medlarloft::peers::detail {

kj::Own<kj::AsyncIoStream> make_stream(boost::asio::ip::tcp::socket socket);

/// Connects with a timeout; passes the socket, or an error text, to `done`.
void connect(
    boost::asio::io_context& context, const endpoint& to,
    const std::string& from_ip, duration timeout,
    std::function<void(boost::asio::ip::tcp::socket socket, std::string error)>
        done);

}  // namespace medlarloft::peers::detail
