#include "platform_fake.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "medlarloft/front.hpp"

namespace medlarloft::fakes {
namespace {

constexpr duration watch_poll = std::chrono::milliseconds(20);
constexpr duration slow_answer = std::chrono::seconds(1);
constexpr std::string_view values_path = "/v1/values/";

std::string read_all(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return file ? text.str() : "";
}

std::string tag_of(const std::string& text) {
  return std::to_string(hash64(text));
}

}  // namespace

struct platform_fake::watch {
  explicit watch(net::io_context& loop) : timer(loop) {}
  boost::asio::steady_timer timer;
  std::string key;
  std::string tag;
  time_point until;
  net::respond answer;
};

platform_fake::platform_fake(net::io_context& loop, std::string folder,
                             const endpoint& configuration,
                             const endpoint& hosts)
    : loop_(loop),
      folder_(std::move(folder)),
      frozen_folder_(folder_ + ".frozen"),
      configuration_server_(
          {&loop}, {.listen = configuration},
          [this](std::size_t, const net::http_request& request,
                 net::respond answer) { value(request, std::move(answer)); }),
      host_server_(
          {&loop}, {.listen = hosts},
          [this](std::size_t, const net::http_request&,
                 const net::respond& answer) { this->hosts(answer); }) {}

net::net_result<void> platform_fake::start() {
  BOOST_OUTCOME_TRYV(configuration_server_.start());
  return host_server_.start();
}

void platform_fake::set_fault(fault kind) {
  if (kind == fault::stale) {
    std::filesystem::remove_all(frozen_folder_);
    std::filesystem::copy(folder_, frozen_folder_,
                          std::filesystem::copy_options::recursive);
  }
  fault_ = kind;
}

std::string platform_fake::load(const std::string& key) {
  const std::string& folder = fault_ == fault::stale ? frozen_folder_ : folder_;
  return read_all(folder + "/" + key);
}

void platform_fake::value(const net::http_request& request,
                          net::respond answer) {
  ++reads_;
  if (fault_ == fault::down) {
    answer({.status = 503, .body = "down"});
    return;
  }
  auto pending = std::make_shared<watch>(loop_);
  pending->answer = std::move(answer);
  pending->tag = front::parameter(request.target, "tag");
  const auto wait = parse_duration(front::parameter(request.target, "wait"));
  pending->until =
      steady_clock::now() + (wait ? wait.value() : duration::zero());
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path.starts_with(values_path)) {
    pending->key = path.substr(values_path.size());
  }
  if (fault_ != fault::slow) {
    watch_value(pending);
    return;
  }
  pending->timer.expires_after(slow_answer);
  pending->timer.async_wait(
      [this, pending](const auto&) { watch_value(pending); });
}

void platform_fake::watch_value(const std::shared_ptr<watch>& pending) {
  const std::string text = load(pending->key);
  const std::string tag = tag_of(text);
  if (text.empty()) {
    pending->answer({.status = 404, .body = "no such value"});
    return;
  }
  if (tag != pending->tag) {
    pending->answer({.body = tag + "\n" + text});
    return;
  }
  if (steady_clock::now() >= pending->until) {
    pending->answer({.status = 304});
    return;
  }
  pending->timer.expires_after(watch_poll);
  pending->timer.async_wait([this, pending](const auto&) {
    if (fault_ == fault::down) {
      pending->answer({.status = 503, .body = "down"});
    } else {
      watch_value(pending);
    }
  });
}

void platform_fake::hosts(const net::respond& answer) {
  const std::string text = read_all(folder_ + "/hosts.json");
  answer({.body = text.empty() ? "{\"hosts\":[]}" : text});
}

}  // namespace medlarloft::fakes
