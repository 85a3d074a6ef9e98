#include <kj/async.h>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include "medlarloft/peers.hpp"

namespace medlarloft::peers {
namespace {

// Makes Cap'n Proto's event loop run Asio handlers while it waits.
class asio_port final : public kj::EventPort {
 public:
  explicit asio_port(io_context& context) : context_(context) {}

  bool wait() override {
    context_.run_one();
    return false;
  }

  bool poll() override {
    context_.poll();
    return false;
  }

 private:
  io_context& context_;
};

}  // namespace

struct event_loop::state {
  explicit state(io_context& context)
      : work(boost::asio::make_work_guard(context)) {}

  boost::asio::executor_work_guard<io_context::executor_type> work;
  kj::Own<kj::PromiseFulfiller<void>> stop;
};

event_loop::event_loop() : state_(std::make_unique<state>(context_)) {}
event_loop::~event_loop() = default;

void event_loop::run(const std::function<void()>& on_start,
                     const std::function<void()>& on_stop) {
  asio_port port(context_);
  kj::EventLoop loop(port);
  kj::WaitScope scope(loop);
  auto stopped = kj::newPromiseAndFulfiller<void>();
  state_->stop = kj::mv(stopped.fulfiller);
  on_start();
  stopped.promise.wait(scope);
  on_stop();
  state_->stop = nullptr;
  // Queued handlers may still release objects that need the event loop.
  context_.poll();
}

void event_loop::stop() {
  boost::asio::post(context_, [this] {
    if (state_->stop.get() != nullptr) state_->stop->fulfill();
  });
}

}  // namespace medlarloft::peers
