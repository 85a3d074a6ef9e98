#pragma once

/// One client connection to a peer's RPC port. Calls queue until it is open;
/// a call without an answer in time closes it, so that the next one opens a
/// fresh connection.

#include <capnp/rpc-twoparty.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>
#include <vector>

#include "asio_stream.hpp"
#include "medlarloft/peers.hpp"

namespace medlarloft::peers::detail {

/// How one call ended, as far as the connection knows.
using call_failed = std::function<void(peer_error)>;

template <class Interface>
class connection final
    : public std::enable_shared_from_this<connection<Interface>>,
      private kj::TaskSet::ErrorHandler {
 public:
  using client = typename Interface::Client;
  /// Makes the call and returns the promise of its handled answer.
  using call = std::function<kj::Promise<void>(client&)>;

  connection(io_context& context, endpoint to, std::string from_ip,
             duration connect_timeout)
      : context_(context),
        to_(std::move(to)),
        from_ip_(std::move(from_ip)),
        connect_timeout_(connect_timeout),
        tasks_(*this) {}

  void start(call make, duration silence, call_failed failed) {
    last_used_ = steady_clock::now();
    if (link_) {
      issue(make, silence, failed);
      return;
    }
    waiting_.push_back({std::move(make), silence, std::move(failed)});
    if (!connecting_) open();
  }

  /// Closes the connection; calls in flight are lost.
  void close() {
    auto old = std::move(link_);
    link_.reset();
    if (old == nullptr) return;
    // The link may be what runs now; it is freed by a later handler.
    boost::asio::post(context_,
                      [old = std::move(old)]() mutable { old.reset(); });
  }

  std::uint64_t replaced_connections() const noexcept {
    return replaced_connections_;
  }
  time_point last_used() const noexcept { return last_used_; }
  bool idle() const noexcept { return open_calls_ == 0 && waiting_.empty(); }

 private:
  struct queued {
    call make;
    duration silence;
    call_failed failed;
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

  // State of one call, shared by its answer and its timer.
  struct running {
    explicit running(io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    call_failed failed;
    bool over = false;
  };

  // Every task ends in a handler of its own.
  void taskFailed(kj::Exception&& /*error*/) override {}

  void open() {
    connecting_ = true;
    connect(context_, to_, from_ip_, connect_timeout_,
            [self = this->shared_from_this()](
                boost::asio::ip::tcp::socket socket, const std::string& error) {
              self->opened(std::move(socket), error);
            });
  }

  void opened(boost::asio::ip::tcp::socket socket, const std::string& error) {
    connecting_ = false;
    std::vector<queued> calls = std::exchange(waiting_, {});
    if (!error.empty()) {
      for (const queued& one : calls) {
        one.failed(
            {peer_errc::not_connected, format_endpoint(to_) + ": " + error});
      }
      return;
    }
    link_ = std::make_shared<link>(make_stream(std::move(socket)));
    watch(link_);
    for (queued& one : calls) {
      issue(one.make, one.silence, one.failed);
    }
  }

  // Notices a peer that goes away while nothing is asked of it, so that the
  // next call finds no dead connection.
  void watch(const std::weak_ptr<link>& opened) {
    const auto current = opened.lock();
    tasks_.add(current->rpc.onDisconnect().then([this, opened] {
      const auto gone = opened.lock();
      if (gone && gone == link_) close();
    }));
  }

  void issue(const call& make, duration silence, const call_failed& failed) {
    if (!link_) {
      failed({peer_errc::not_connected, "connection closed before the call"});
      return;
    }
    auto state = std::make_shared<running>(context_);
    state->failed = failed;
    ++open_calls_;
    const auto self = this->shared_from_this();
    const std::weak_ptr<link> used = link_;
    state->timer.expires_after(silence);
    state->timer.async_wait([self, state, used](const auto& cancelled) {
      if (cancelled || state->over) return;
      self->end(*state);
      ++self->replaced_connections_;
      if (self->link_ && self->link_ == used.lock()) self->close();
      state->failed({peer_errc::lost, "no answer in time"});
    });
    // The tasks die with this connection, so that they may refer to it.
    tasks_.add(make(link_->interface)
                   .then([this, state] { end(*state); },
                         [this, state, used](kj::Exception&& error) {
                           on_error(*state, used, error);
                         }));
  }

  void on_error(running& state, const std::weak_ptr<link>& used,
                const kj::Exception& error) {
    if (state.over) return;
    end(state);
    const bool dead = error.getType() == kj::Exception::Type::DISCONNECTED;
    if (dead && link_ && link_ == used.lock()) close();
    state.failed({dead ? peer_errc::lost : peer_errc::refused,
                  error.getDescription().cStr()});
  }

  void end(running& state) {
    if (state.over) return;
    state.over = true;
    --open_calls_;
    state.timer.cancel();
  }

  io_context& context_;
  endpoint to_;
  std::string from_ip_;
  duration connect_timeout_;
  std::shared_ptr<link> link_;
  bool connecting_ = false;
  std::vector<queued> waiting_;
  std::size_t open_calls_ = 0;
  std::uint64_t replaced_connections_ = 0;
  time_point last_used_{};
  kj::TaskSet tasks_;
};

}  // namespace medlarloft::peers::detail
