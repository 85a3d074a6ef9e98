#include "worker.hpp"

#include <boost/asio/post.hpp>
#include <random>

namespace medlarloft::server {
namespace {

constexpr duration tick_interval = std::chrono::milliseconds(500);

std::uint64_t fresh_seed() {
  std::random_device device;
  return hash_combine(device(), device());
}

}  // namespace

worker::worker(daemon_context& context, std::size_t index, std::size_t workers,
               std::vector<worker_port>& ports)
    : context_(context), index_(index), workers_(workers), ports_(ports) {
  pools_ = std::make_unique<leaf_pools>(context_, loop_.context(), figures_,
                                        index_, workers_);
  relay_ = std::make_unique<server::relay>(loop_.context(), ports_);
  entry_ = std::make_unique<entry>(context_, loop_, figures_, *relay_, workers_,
                                   fresh_seed());
  tick_ = std::make_unique<boost::asio::steady_timer>(loop_.context());
  ports_[index] = {&loop_.context(), pools_.get()};
}

void worker::start(std::function<void()> finished) {
  thread_ = std::thread([this, finished = std::move(finished)] {
    loop_.run([this] { arm_tick(); },
              [this, finished] {
                tick_->cancel();
                entry_->close();
                relay_->close();
                pools_->close();
                finished();
              });
  });
}

void worker::arm_tick() {
  tick_->expires_after(tick_interval);
  tick_->async_wait([this](const auto& cancelled) {
    if (cancelled) return;
    pools_->tick();
    arm_tick();
  });
}

void worker::stop() {
  loop_.stop();
}

void worker::join() {
  if (thread_.joinable()) thread_.join();
}

void worker::follow(view_ptr current) {
  boost::asio::post(loop_.context(), [this, current = std::move(current)] {
    pools_->follow(*current);
  });
}

}  // namespace medlarloft::server
