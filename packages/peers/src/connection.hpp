#pragma once

/// A client connection to a peer's RPC port, opened by the first call. Calls
/// wait until it is open. A call that times out closes the connection, so that
/// the next call opens a new one.

#include <capnp/rpc-twoparty.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>
#include <vector>

#include "asio_stream.hpp"
#include "medlarloft/peers.hpp"

namespace medlarloft::peers::detail {

/// Called when a call ends without an answer.
using failure_callback = std::function<void(peer_error)>;

template <class Interface>
class connection final
    : public std::enable_shared_from_this<connection<Interface>>,
      private kj::TaskSet::ErrorHandler {
 public:
  using client = typename Interface::Client;
  /// Sends the request and returns a promise that handles the answer.
  using call = std::function<kj::Promise<void>(client&)>;

  connection(io_context& context, endpoint to, std::string from_ip,
             duration connect_timeout)
      : context_(context),
        to_(std::move(to)),
        from_ip_(std::move(from_ip)),
        connect_timeout_(connect_timeout),
        tasks_(*this) {}

  void start(call send, duration answer_timeout, failure_callback on_failure) {
    last_used_ = steady_clock::now();
    if (link_) {
      issue(send, answer_timeout, on_failure);
      return;
    }
    queued_calls_.push_back(
        {std::move(send), answer_timeout, std::move(on_failure)});
    if (!connecting_) open();
  }

  /// Closes the connection; calls in flight are lost.
  void close() {
    auto old = std::move(link_);
    link_.reset();
    if (old == nullptr) return;
    // This may run inside a callback of the link, so a later handler frees it.
    boost::asio::post(context_,
                      [old = std::move(old)]() mutable { old.reset(); });
  }

  std::uint64_t timed_out_calls() const noexcept { return timed_out_calls_; }
  time_point last_used() const noexcept { return last_used_; }
  bool idle() const noexcept {
    return open_calls_ == 0 && queued_calls_.empty();
  }

 private:
  struct queued_call {
    call send;
    duration answer_timeout;
    failure_callback on_failure;
  };

  struct link {
    explicit link(kj::Own<kj::AsyncIoStream> opened)
        : stream(kj::mv(opened)),
          rpc(*stream),
          interface(rpc.bootstrap().castAs<Interface>()) {}
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient rpc;
    client interface;
  };

  // State of one open call, shared by its answer handler and its timer.
  struct open_call {
    explicit open_call(io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    failure_callback on_failure;
    bool finished = false;
  };

  // Does nothing: every task handles its own errors.
  void taskFailed(kj::Exception&& /*error*/) override {}

  void open() {
    connecting_ = true;
    connect(context_, to_, from_ip_, connect_timeout_,
            [self = this->shared_from_this()](
                boost::asio::ip::tcp::socket socket, const std::string& error) {
              self->on_connected(std::move(socket), error);
            });
  }

  void on_connected(boost::asio::ip::tcp::socket socket,
                    const std::string& error) {
    connecting_ = false;
    std::vector<queued_call> calls = std::exchange(queued_calls_, {});
    if (!error.empty()) {
      for (const queued_call& queued : calls) {
        queued.on_failure(
            {peer_errc::not_connected, format_endpoint(to_) + ": " + error});
      }
      return;
    }
    link_ = std::make_shared<link>(make_stream(std::move(socket)));
    watch_disconnect(link_);
    for (queued_call& queued : calls) {
      issue(queued.send, queued.answer_timeout, queued.on_failure);
    }
  }

  // Closes the connection when the peer disconnects while no call is open, so
  // that the next call doesn't use a dead connection.
  void watch_disconnect(const std::weak_ptr<link>& opened) {
    const auto current = opened.lock();
    tasks_.add(current->rpc.onDisconnect().then([this, opened] {
      const auto disconnected = opened.lock();
      if (disconnected && disconnected == link_) close();
    }));
  }

  void issue(const call& send, duration answer_timeout,
             const failure_callback& on_failure) {
    if (!link_) {
      on_failure(
          {peer_errc::not_connected, "connection closed before the call"});
      return;
    }
    auto state = std::make_shared<open_call>(context_);
    state->on_failure = on_failure;
    ++open_calls_;
    const auto self = this->shared_from_this();
    const std::weak_ptr<link> used = link_;
    state->timer.expires_after(answer_timeout);
    state->timer.async_wait([self, state, used](const auto& cancelled) {
      if (cancelled || state->finished) return;
      self->finish(*state);
      ++self->timed_out_calls_;
      if (self->link_ && self->link_ == used.lock()) self->close();
      state->on_failure({peer_errc::lost, "no answer in time"});
    });
    // The tasks are destroyed with this connection, so they may use `this`.
    tasks_.add(send(link_->interface)
                   .then([this, state] { finish(*state); },
                         [this, state, used](kj::Exception&& error) {
                           on_error(*state, used, error);
                         }));
  }

  void on_error(open_call& state, const std::weak_ptr<link>& used,
                const kj::Exception& error) {
    if (state.finished) return;
    finish(state);
    const bool disconnected =
        error.getType() == kj::Exception::Type::DISCONNECTED;
    if (disconnected && link_ && link_ == used.lock()) close();
    state.on_failure({disconnected ? peer_errc::lost : peer_errc::refused,
                      error.getDescription().cStr()});
  }

  void finish(open_call& state) {
    if (state.finished) return;
    state.finished = true;
    --open_calls_;
    state.timer.cancel();
  }

  io_context& context_;
  endpoint to_;
  std::string from_ip_;
  duration connect_timeout_;
  std::shared_ptr<link> link_;
  bool connecting_ = false;
  std::vector<queued_call> queued_calls_;
  std::size_t open_calls_ = 0;
  std::uint64_t timed_out_calls_ = 0;
  time_point last_used_{};
  kj::TaskSet tasks_;
};

}  // namespace medlarloft::peers::detail
