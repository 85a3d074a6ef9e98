#include "deployment.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace medlarloft::soak {
namespace {

using nlohmann::json;
using standins::request_kind;

constexpr std::uint16_t store_port = 6000;
constexpr std::uint16_t callers_port = 7000;
constexpr std::uint16_t readiness_port = 7001;
constexpr std::uint16_t directory_port = 7002;
constexpr std::uint16_t control_port = 7003;
constexpr std::uint16_t metrics_port = 7004;
/// Where the other daemons reach the control address, through a proxy.
constexpr std::uint16_t announced_port = 7103;
constexpr std::uint16_t leaf_port = 8080;
constexpr std::size_t single_leafs = 6;
constexpr std::size_t seeds = 3;
constexpr std::size_t leafs_per_subnet = 200;

std::string data_centre_name(std::size_t index) {
  return std::string(1, static_cast<char>('a' + index % data_centres));
}

// Addresses of one kind of process: 127.NET.x.y.
std::string loopback(int net, std::size_t index) {
  return "127." + std::to_string(net) + "." +
         std::to_string(index / leafs_per_subnet) + "." +
         std::to_string(index % leafs_per_subnet + 1);
}

// Networks of each kind, after the first one.
constexpr int store_net = 0;
constexpr int daemon_net = 1;
constexpr int store_link_net = 2;
constexpr int leaf_net = 3;
constexpr int leaf_link_net = 4;

std::vector<std::string> shard_names(const std::string& prefix,
                                     std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i)
    names.push_back(prefix + std::to_string(i));
  return names;
}

}  // namespace

deployment::deployment(loop::io_context& loop, loop::timer_queue& timers,
                       deployment_options values)
    : loop_(loop),
      timers_(timers),
      options_(std::move(values)),
      store_(loop, timers, {loopback(options_.net + store_net, 0), store_port}),
      first_shards_(shard_names("lease-", options_.shards)),
      second_shards_(shard_names("portal-", options_.shards + 2)) {
  for (const std::string& each : first_shards_)
    add_service(each, replicas);
  for (const std::string& each : second_shards_)
    add_service(each, replicas);
  for (const char* each : {"vault", "once", "even", "odd"})
    add_service(each, single_leafs);
  for (std::size_t i = 0; i < options_.daemons; ++i) {
    store_links_.push_back(std::make_unique<link>(
        loop_, timers_,
        endpoint{loopback(options_.net + store_link_net, i), store_port},
        endpoint{loopback(options_.net + store_net, 0), store_port}));
    daemon_process made{.id = "d" + std::to_string(i),
                        .data_centre = data_centre_name(i),
                        .ip = loopback(options_.net + daemon_net, i)};
    const endpoint announced{made.ip, announced_port};
    const endpoint control{made.ip, control_port};
    peer_links_.push_back(
        std::make_unique<link>(loop_, timers_, announced, control));
    peer_datagrams_.push_back(
        std::make_unique<datagram_link>(loop_, timers_, announced, control));
    made.settings_path = options_.folder + "/" + made.id + ".json";
    daemons_.push_back(std::move(made));
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    std::ofstream file(daemons_[i].settings_path);
    file << settings_text(i);
  }
}

deployment::~deployment() {
  for (daemon_process& each : daemons_) {
    if (!each.runs()) continue;
    ::kill(each.pid, SIGKILL);
    ::waitpid(each.pid, nullptr, 0);
  }
}

void deployment::add_service(const std::string& name, std::size_t count) {
  services_.push_back(name);
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = leafs_.size();
    const endpoint at{loopback(options_.net + leaf_net, index), leaf_port};
    leaf_links_.push_back(std::make_unique<link>(
        loop_, timers_,
        endpoint{loopback(options_.net + leaf_link_net, index), leaf_port},
        at));
    leafs_.push_back(std::make_unique<standins::leaf>(
        loop_, timers_,
        standins::leaf::options{.id = "i-" + std::to_string(index),
                                .service = name,
                                .data_centre = data_centre_name(i),
                                .listen = at,
                                .advertised = leaf_links_.back()->listens(),
                                .seed = hash_combine(options_.seed, index)},
        execution_log_));
    announce(*leafs_.back());
  }
}

void deployment::announce(const standins::leaf& each) {
  store_.put("servers/" + each.settings().id, each.registration());
}

void deployment::withdraw(const standins::leaf& each) {
  store_.remove("servers/" + each.settings().id);
}

void deployment::set_out(const std::string& data_centre, bool out) {
  const std::string key = "op/evacuate/" + data_centre;
  if (out) {
    store_.put(key, json::object());
  } else {
    store_.remove(key);
  }
}

std::uint64_t deployment::configure(bool second_shards) {
  ++version_;
  const auto route = [](const char* name, const char* kind) {
    return json{{"name", name},
                {"host", "loft.example"},
                {"prefix", std::string("/") + name + "/"},
                {"kind", kind},
                {"timeoutMs", 1500},
                {"sloMs", 200},
                {"priority", 1},
                {"attempts", 2}};
  };
  json gather = route("gather", "idempotent");
  gather["gather"] = second_shards ? second_shards_ : first_shards_;
  gather["topK"] = 20;
  gather["minCoverage"] = 0.75;
  json single = route("single", "idempotent");
  single["service"] = "vault";
  json once = route("once", "non_idempotent");
  once["service"] = "once";
  json changing = route("changing", "idempotent");
  changing["service"] = changing_service(version_);
  json services = json::array();
  for (const std::string& each : services_) {
    services.push_back({{"name", each},
                        {"healthPath", "/healthz"},
                        {"maxConns", 40},
                        {"warmupS", 0},
                        {"warmupPerS", 0}});
  }
  store_.put("op/config", {{"version", version_},
                           {"routes", {gather, single, once, changing}},
                           {"services", std::move(services)}});
  return version_;
}

std::vector<request_kind> deployment::kinds() const {
  return {{.name = "gather",
           .path = "/gather/q",
           .shard_sets = {first_shards_, second_shards_},
           .min_coverage = 0.75,
           .max_records = 20,
           .weight = 6},
          {.name = "single", .path = "/single/q", .weight = 2},
          {.name = "once",
           .method = "POST",
           .path = "/once/q",
           .idempotent = false,
           .weight = 2},
          {.name = "changing", .path = "/changing/q", .weight = 2}};
}

std::string deployment::service_of(const std::string& leaf) const {
  const auto found = std::ranges::find_if(leafs_, [&leaf](const auto& each) {
    return each->settings().id == leaf;
  });
  return found == leafs_.end() ? std::string{} : (*found)->settings().service;
}

std::vector<endpoint> deployment::directories() const {
  std::vector<endpoint> all;
  std::ranges::transform(daemons_, std::back_inserter(all),
                         [](const daemon_process& each) {
                           return endpoint{each.ip, directory_port};
                         });
  return all;
}

std::string deployment::settings_text(std::size_t index) const {
  const daemon_process& own = daemons_[index];
  const auto at = [&own](std::uint16_t port) {
    return format_endpoint({own.ip, port});
  };
  json first = json::array();
  for (std::size_t i = 0; i < std::min(seeds, daemons_.size()); ++i)
    first.push_back(format_endpoint({daemons_[i].ip, announced_port}));
  const json settings = {
      {"id", own.id},
      {"data_centre", own.data_centre},
      {"region", "r"},
      {"listen",
       {{"callers", at(callers_port)},
        {"readiness", at(readiness_port)},
        {"addresses", at(directory_port)},
        {"control", at(control_port)},
        {"control_announced", at(announced_port)},
        {"metrics", at(metrics_port)}}},
      {"seeds", std::move(first)},
      {"store", format_endpoint(store_links_[index]->listens())},
      {"first_deployment", false},
      {"retries",
       {{"ratio", retry_ratio},
        {"window", format_duration(retry_window)},
        {"slack", retry_slack}}},
      {"act_within",
       {{"leaf_leaves", format_duration(drain_bound)},
        {"configuration", format_duration(configuration_bound)}}},
      {"stop_within", format_duration(stop_within)},
      {"longest_keep", "5s"},
      {"processor", {{"share", 0.25}, {"speed", 1}}},
      {"max_descriptors", 4096}};
  return settings.dump(1);
}

void deployment::set_peers_link(std::size_t index, link_mode mode) {
  peer_links_[index]->set_mode(mode);
  peer_datagrams_[index]->set_mode(mode);
}

void deployment::start_daemon(std::size_t index) {
  daemon_process& own = daemons_[index];
  const std::string log = options_.folder + "/" + own.id + ".log";
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  // The stand-ins' sockets are not the daemon's.
  ::posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  std::string program = options_.daemon_program;
  std::string flag = "--settings_from=MEDLARLOFT_SETTINGS";
  std::string variable = "MEDLARLOFT_SETTINGS=" + own.settings_path;
  std::vector<char*> arguments{program.data(), flag.data(), nullptr};
  std::vector<char*> environment{variable.data(), nullptr};
  if (::posix_spawn(&own.pid, program.c_str(), &files, nullptr,
                    arguments.data(), environment.data()) != 0) {
    own.pid = -1;
  }
  ::posix_spawn_file_actions_destroy(&files);
  own.paused = false;
  own.killed = false;
  own.stop_asked.reset();
  ++own.starts;
}

void deployment::signal(std::size_t index, int number) {
  daemon_process& own = daemons_[index];
  if (!own.runs()) return;
  if (number == SIGKILL) own.killed = true;
  if (number == SIGSTOP) own.paused = true;
  if (number == SIGCONT) own.paused = false;
  if (number == SIGTERM && !own.stop_asked) {
    own.stop_asked = steady_clock::now();
  }
  ::kill(own.pid, number);
}

duration deployment::processor_time() const {
  // The 14th and 15th fields: ticks in the program and in the kernel for it.
  constexpr int user_field = 14;
  double ticks = 0;
  for (const daemon_process& each : daemons_) {
    std::ifstream file("/proc/" + std::to_string(each.pid) + "/stat");
    std::string skipped;
    for (int i = 1; i < user_field; ++i)
      file >> skipped;
    double user = 0;
    double kernel = 0;
    if (file >> user >> kernel) ticks += user + kernel;
  }
  const double seconds = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

std::optional<process_end> deployment::reap() {
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    daemon_process& own = daemons_[i];
    int status = 0;
    if (!own.runs() || ::waitpid(own.pid, &status, WNOHANG) != own.pid) {
      continue;
    }
    own.pid = -1;
    return process_end{
        .daemon = i,
        .exited = WIFEXITED(status),
        .code = WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status)};
  }
  return std::nullopt;
}

}  // namespace medlarloft::soak
