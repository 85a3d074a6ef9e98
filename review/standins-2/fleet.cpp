#include "fleet.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace medlarloft::review {
namespace {

using nlohmann::json;
namespace asio = boost::asio;

constexpr std::uint16_t store_port = 6100;
constexpr std::uint16_t front_port = 7100;
constexpr std::uint16_t ready_port = 7101;
constexpr std::uint16_t directory_port = 7102;
constexpr std::uint16_t control_port = 7103;
constexpr std::uint16_t metrics_port = 7104;
constexpr std::uint16_t announced_control_port = 7105;
constexpr std::uint16_t leaf_port = 8100;
constexpr std::size_t zones = 3;
constexpr std::size_t seeds = 3;
constexpr std::size_t datagram_bytes = 65536;
constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_draining = 503;

std::string flag_value(std::string_view argument, std::string_view name) {
  const std::string prefix = "--" + std::string(name) + "=";
  if (!argument.starts_with(prefix)) return {};
  return std::string(argument.substr(prefix.size()));
}

}  // namespace

case_options parse_options(int argc, char** argv) {
  case_options options;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  for (const std::string& argument : arguments) {
    if (auto value = flag_value(argument, "daemon"); !value.empty())
      options.daemon_program = std::move(value);
    if (auto value = flag_value(argument, "folder"); !value.empty())
      options.folder = std::move(value);
    if (auto value = flag_value(argument, "record"); !value.empty())
      options.record = std::move(value);
    if (const auto value = flag_value(argument, "trouble"); !value.empty())
      options.trouble = value != "0";
    if (const auto value = flag_value(argument, "net"); !value.empty())
      options.net = std::atoi(value.c_str());
  }
  return options;
}

datagram_proxy::datagram_proxy(http::io_context& loop, const endpoint& listen,
                               const endpoint& target)
    : target_(asio::ip::make_address(target.ip), target.port),
      socket_(loop, asio::ip::udp::endpoint(asio::ip::make_address(listen.ip),
                                            listen.port)),
      buffer_(datagram_bytes, '\0') {
  receive();
}

void datagram_proxy::receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [this](const boost::system::error_code& failed, std::size_t count) {
        if (failed == asio::error::operation_aborted) return;
        const std::string_view bytes(buffer_.data(), count);
        if (!failed && !(drops && drops(bytes))) {
          boost::system::error_code ignored;
          socket_.send_to(asio::buffer(bytes), target_, 0, ignored);
        }
        receive();
      });
}

leaf::leaf(fleet& owner, options settings)
    : owner_(owner), options_(std::move(settings)) {
  listen();
}

leaf::~leaf() {
  *alive_ = false;
}

void leaf::start_again(std::int64_t born) {
  options_.born = born;
  writes_ = 0;
  alive_ = std::make_shared<bool>(true);
  listen();
}

void leaf::listen() {
  server_ = std::make_unique<http::server>(
      owner_.loop(), owner_.timers(),
      http::server::options{.listen = options_.listen,
                            .limits = [] { return http::limits{}; }},
      [this](const std::shared_ptr<http::exchange>& exchange) {
        serve(exchange);
      });
  if (!server_->start()) {
    std::fprintf(stderr, "leaf %s cannot listen\n", options_.id.c_str());
    std::exit(could_not_run);
  }
}

json leaf::next_entry() {
  const auto cold_ms =
      std::chrono::duration_cast<milliseconds>(cold_for).count();
  return {{"service", options_.service},
          {"addr", format_endpoint(options_.listen)},
          {"zone", options_.zone},
          {"version", "v1"},
          {"concurrency", options_.slots},
          {"state", draining ? "draining" : "ready"},
          {"warmupLeftMs", cold_ms},
          {"callSeq", ++writes_},
          {"born", options_.born}};
}

void leaf::write_entry() {
  owner_.store().put("servers/" + options_.id, next_entry());
}

void leaf::remove_entry() {
  owner_.store().remove("servers/" + options_.id);
}

void leaf::end() {
  cut += running_requests_;
  running_requests_ = 0;
  *alive_ = false;
  server_.reset();
}

void leaf::serve(const std::shared_ptr<http::exchange>& exchange) {
  const http::message& request = exchange->request();
  if (request.target == "/healthz") {
    exchange->respond({.status = draining ? status_draining : status_ok,
                       .headers = {{"Leaf-Id", options_.id}}});
    return;
  }
  const std::string id(request.find("Request-Id").value_or(""));
  if (request.find("Expect-Instance").value_or("") != options_.id) {
    exchange->respond({.status = status_misdirected,
                       .headers = {{"Request-Id", id}, {"Not-Run", "1"}}});
    return;
  }
  if (on_arrival) on_arrival(id);
  if (!running()) return;
  owner_.record("runs " + id + " at " + options_.id);
  ++running_requests_;
  owner_.timers().after(options_.work, [this, alive = alive_, exchange, id] {
    if (!*alive) return;
    --running_requests_;
    exchange->respond({.status = status_ok,
                       .headers = {{"Request-Id", id},
                                   {"Server-Stamp", options_.id + "." + id}},
                       .body = "0123456789abcdef"});
  });
}

callers::callers(fleet& owner, options settings)
    : owner_(owner), options_(std::move(settings)) {}

void callers::start(duration length) {
  started_at_ = steady_clock::now();
  ends_at_ = started_at_ + length;
  sent_ = 0;
  send_next();
}

void callers::send_next() {
  const time_point due =
      started_at_ +
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          static_cast<double>(sent_) / options_.rate));
  if (due >= ends_at_) return;
  ++sent_;
  owner_.timers().at(due, [this] {
    const auto request = std::make_shared<call>(call{
        .id = owner_.next_request_id(),
        .path = options_.path,
        .daemon = options_.daemon,
        .sent_at = steady_clock::now(),
    });
    owner_.record_sent(request->id, options_.method + " " + options_.path +
                                        " to edge-" +
                                        std::to_string(options_.daemon));
    while (!idle_.empty() && !idle_.back()->usable())
      idle_.pop_back();
    if (!idle_.empty()) {
      const auto connection = idle_.back();
      idle_.pop_back();
      send(connection, request);
    } else {
      const auto connection = http::connection::make(
          owner_.loop(), owner_.timers(),
          {.to = owner_.front(options_.daemon), .connect_timeout = seconds(1)});
      connection->open([this, connection, request](bool ok, duration) {
        if (ok) {
          send(connection, request);
        } else {
          finish(request, 0);
        }
      });
    }
    send_next();
  });
}

void callers::send(const std::shared_ptr<http::connection>& connection,
                   const std::shared_ptr<call>& request) {
  const auto deadline_ms =
      std::chrono::duration_cast<milliseconds>(options_.deadline).count();
  const http::message message{
      .method = options_.method,
      .target = options_.path,
      .headers = {{"Host", "loft.example"},
                  {"Request-Id", request->id},
                  {"Deadline-Ms", std::to_string(deadline_ms)}}};
  connection->send_request(
      http::serialize_request(message), options_.method, nullptr,
      [this, connection, request](const http::response_result& result) {
        if (result && result.value().reusable) idle_.push_back(connection);
        finish(request, result ? result.value().response.status : 0);
      });
}

void callers::finish(const std::shared_ptr<call>& request, int status) {
  request->status = status;
  owner_.record("answered " + request->id + " " + request->path +
                " from=" + std::to_string(request->daemon) +
                " status=" + std::to_string(status));
  if (on_answer) on_answer(*request);
}

fleet::fleet(case_options options, std::size_t daemons)
    : options_(std::move(options)),
      store_(loop_, timers_, {address(0, 0), store_port}),
      store_link_(loop_, timers_, {address(0, 1), store_port},
                  {address(0, 0), store_port}),
      record_(options_.record),
      ready_(daemons, false) {
  for (std::size_t i = 0; i < daemons; ++i) {
    daemon added;
    added.id = "edge-" + std::to_string(i);
    added.ip = address(1, i);
    added.settings_path = options_.folder + "/" + added.id + ".json";
    added.log_path = options_.folder + "/" + added.id + ".log";
    const endpoint announced{added.ip, announced_control_port};
    const endpoint control{added.ip, control_port};
    added.control =
        std::make_unique<soak::link>(loop_, timers_, announced, control);
    added.datagrams =
        std::make_unique<datagram_proxy>(loop_, announced, control);
    daemons_.push_back(std::move(added));
  }
  for (std::size_t i = 0; i < daemons; ++i)
    write_settings(daemons_[i], zone_name(i));
}

fleet::~fleet() {
  for (const daemon& each : daemons_) {
    if (each.pid <= 0) continue;
    ::kill(each.pid, SIGKILL);
    ::waitpid(each.pid, nullptr, 0);
  }
}

std::string fleet::address(int network, std::size_t index) const {
  return "127." + std::to_string(options_.net + network) + ".0." +
         std::to_string(index + 1);
}

std::string fleet::zone_name(std::size_t index) {
  return std::string("zone-") + static_cast<char>('a' + index % zones);
}

endpoint fleet::front(std::size_t index) const {
  return {daemons_[index].ip, front_port};
}

// The fields that platform/settings.json is filled with, with the bounds of a
// small deployment.
void fleet::write_settings(const daemon& which, const std::string& zone) {
  const auto at = [&which](std::uint16_t port) {
    return format_endpoint({which.ip, port});
  };
  json seed_list = json::array();
  for (std::size_t i = 0; i < std::min(seeds, daemons_.size()); ++i)
    seed_list.push_back(
        format_endpoint({daemons_[i].ip, announced_control_port}));
  const json settings = {
      {"id", which.id},
      {"data_centre", zone},
      {"region", "region"},
      {"listen",
       {{"callers", at(front_port)},
        {"readiness", at(ready_port)},
        {"addresses", at(directory_port)},
        {"control", at(control_port)},
        {"control_announced", at(announced_control_port)},
        {"metrics", at(metrics_port)}}},
      {"seeds", seed_list},
      {"store", format_endpoint({address(0, 1), store_port})},
      {"first_deployment", false},
      {"retries", {{"ratio", 0.2}, {"window", "10s"}, {"slack", 54}}},
      {"act_within",
       {{"leaf_leaves", format_duration(drain_bound)},
        {"configuration", "3000ms"}}},
      {"stop_within", "6s"},
      {"longest_keep", "5s"},
      {"processor", {{"share", 0.25}, {"speed", 1}}},
      {"link_mbps", 1000.0},
      {"max_descriptors", 4100},
      {"memory_mb", 260}};
  std::ofstream(which.settings_path) << settings.dump(1);
}

void fleet::start_daemon(std::size_t index) {
  daemon& started = daemons_[index];
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO,
                                     started.log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  std::string program = options_.daemon_program;
  std::string flag = "--settings_from=MEDLARLOFT_BOOT";
  std::string variable = "MEDLARLOFT_BOOT=" + started.settings_path;
  std::vector<char*> arguments{program.data(), flag.data(), nullptr};
  std::vector<char*> environment{variable.data(), nullptr};
  const int failed =
      ::posix_spawn(&started.pid, program.c_str(), &files, nullptr,
                    arguments.data(), environment.data());
  ::posix_spawn_file_actions_destroy(&files);
  if (failed != 0) {
    std::fprintf(stderr, "cannot start %s\n", program.c_str());
    std::exit(could_not_run);
  }
  started.signalled = false;
  // For the script, which ends the daemons if this program is killed.
  std::ofstream(options_.folder + "/pids", std::ios::app)
      << started.pid << '\n';
  record("started " + started.id);
}

void fleet::signal_daemon(std::size_t index, int number) {
  daemon& which = daemons_[index];
  if (which.pid <= 0) return;
  if (number == SIGKILL || number == SIGTERM) which.signalled = true;
  record("signal " + std::to_string(number) + " to " + which.id);
  ::kill(which.pid, number);
}

std::size_t fleet::ended_daemons() {
  std::size_t unasked = 0;
  for (daemon& each : daemons_) {
    int status = 0;
    if (each.pid <= 0 || ::waitpid(each.pid, &status, WNOHANG) != each.pid)
      continue;
    each.pid = -1;
    record("ended " + each.id + " wait-status=" + std::to_string(status));
    if (!each.signalled) ++unasked;
  }
  return unasked;
}

leaf& fleet::add_leaf(const std::string& id, const std::string& service,
                      std::size_t zone, duration work) {
  leafs_.push_back(std::make_unique<leaf>(
      *this, leaf::options{.id = id,
                           .service = service,
                           .zone = zone_name(zone),
                           .listen = {address(2, leafs_.size()), leaf_port},
                           .work = work}));
  leafs_.back()->write_entry();
  return *leafs_.back();
}

callers& fleet::add_callers(const callers::options& settings) {
  callers_.push_back(std::make_unique<callers>(*this, settings));
  return *callers_.back();
}

void fleet::write_configuration(const json& routes, const json& services,
                                std::size_t max_body_bytes) {
  store_.put("op/config", {{"version", ++version_},
                           {"routes", routes},
                           {"services", services},
                           {"limits",
                            {{"maxHeaderBytes", 16384},
                             {"maxBodyBytes", max_body_bytes},
                             {"headerTimeoutMs", 3000},
                             {"idleTimeoutMs", 15000}}}});
  record("acknowledged config version=" + std::to_string(version_));
}

void fleet::run_for(duration length) {
  loop_.restart();
  loop_.run_for(length);
}

void fleet::probe_ready(std::size_t index) {
  const auto connection = http::connection::make(
      loop_, timers_,
      {.to = {daemons_[index].ip, ready_port}, .connect_timeout = seconds(1)});
  connection->open([this, connection, index](bool ok, duration) {
    if (!ok) return;
    const http::message request{
        .method = "GET", .target = "/ready", .headers = {{"Host", "ready"}}};
    connection->send_request(
        http::serialize_request(request), "GET", nullptr,
        [this, connection, index](const http::response_result& result) {
          if (result && result.value().response.status == status_ok)
            ready_[index] = true;
        });
  });
}

bool fleet::await_ready(duration longest) {
  const time_point until = steady_clock::now() + longest;
  ready_.assign(daemons_.size(), false);
  while (steady_clock::now() < until) {
    for (std::size_t i = 0; i < daemons_.size(); ++i)
      if (!ready_[i]) probe_ready(i);
    run_for(milliseconds(200));
    if (std::ranges::find(ready_, false) == ready_.end()) return true;
  }
  return false;
}

bool fleet::reads_store(std::size_t index) const {
  std::ifstream log(daemons_[index].log_path);
  bool reads = false;
  for (std::string line; std::getline(log, line);) {
    if (line.find("event=store_reading_begins") != std::string::npos)
      reads = true;
    if (line.find("event=store_reading_ends") != std::string::npos)
      reads = false;
  }
  return reads;
}

void fleet::record(const std::string& line) {
  const auto elapsed = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - started_at_);
  record_ << elapsed.count() << " ms " << line << '\n';
}

void fleet::record_sent(const std::string& id, const std::string& what) {
  sent_[id] = steady_clock::now();
  record("sent " + id + " " + what);
}

std::string fleet::next_request_id() {
  return "q" + std::to_string(++requests_);
}

std::size_t most_in_span(const std::vector<arrival>& arrivals, duration span) {
  std::size_t most = 0;
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    const time_point begin = arrivals[last].arrived_at - span;
    const auto inside = std::count_if(
        arrivals.begin(),
        arrivals.begin() + static_cast<std::ptrdiff_t>(last) + 1,
        [begin](const arrival& each) { return each.sent_at > begin; });
    most = std::max(most, static_cast<std::size_t>(inside));
  }
  return most;
}

json make_route(const std::string& name, const std::string& kind,
                const std::string& service) {
  return {
      {"name", name},  {"host", "loft.example"}, {"prefix", "/" + name + "/"},
      {"kind", kind},  {"timeoutMs", 1500},      {"sloMs", 600},
      {"priority", 1}, {"attempts", 2},          {"service", service}};
}

}  // namespace medlarloft::review
