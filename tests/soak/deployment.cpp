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
constexpr std::uint16_t addresses_port = 7002;
constexpr std::uint16_t control_port = 7003;
constexpr std::uint16_t metrics_port = 7004;
/// Port of the proxy through which other daemons reach the control port.
constexpr std::uint16_t advertised_control_port = 7103;
constexpr std::uint16_t leaf_port = 8080;
constexpr std::size_t leafs_per_single_service = 6;
constexpr std::size_t seed_daemons = 3;
constexpr std::size_t addresses_per_subnet = 200;

std::string data_centre_name(std::size_t index) {
  return std::string(1, static_cast<char>('a' + index % data_centres));
}

// Returns the address 127.NET.x.y with this index in a network.
std::string loopback_address(int net, std::size_t index) {
  return "127." + std::to_string(net) + "." +
         std::to_string(index / addresses_per_subnet) + "." +
         std::to_string(index % addresses_per_subnet + 1);
}

// Offset of the network of each kind from the first network.
constexpr int store_net_offset = 0;
constexpr int daemon_net_offset = 1;
constexpr int store_link_net_offset = 2;
constexpr int leaf_net_offset = 3;
constexpr int leaf_link_net_offset = 4;

std::vector<std::string> shard_names(const std::string& prefix,
                                     std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i)
    names.push_back(prefix + std::to_string(i));
  return names;
}

const std::string unlimited_key = "key-of-unlimited";
const std::string limited_key = "key-of-limited";

std::string leaf_key(const standins::leaf& leaf) {
  return "servers/" + leaf.settings().id;
}

}  // namespace

deployment::deployment(loop::io_context& loop, loop::timer_queue& timers,
                       deployment_options options)
    : loop_(loop),
      timers_(timers),
      options_(std::move(options)),
      store_(
          loop, timers,
          {loopback_address(options_.net + store_net_offset, 0), store_port}),
      first_shards_(shard_names("lease-", options_.shards)),
      second_shards_(shard_names("portal-", options_.shards + 2)) {
  for (const std::string& service : first_shards_)
    add_service(service, replicas);
  for (const std::string& service : second_shards_)
    add_service(service, replicas);
  for (const char* service : {"vault", "once", "even", "odd"})
    add_service(service, leafs_per_single_service);
  for (std::size_t i = 0; i < options_.daemons; ++i) {
    store_links_.push_back(std::make_unique<link>(
        loop_, timers_,
        endpoint{loopback_address(options_.net + store_link_net_offset, i),
                 store_port},
        endpoint{loopback_address(options_.net + store_net_offset, 0),
                 store_port}));
    daemon_process daemon{
        .id = "d" + std::to_string(i),
        .data_centre = data_centre_name(i),
        .ip = loopback_address(options_.net + daemon_net_offset, i)};
    const endpoint advertised{daemon.ip, advertised_control_port};
    const endpoint control{daemon.ip, control_port};
    peer_links_.push_back(
        std::make_unique<link>(loop_, timers_, advertised, control));
    peer_datagram_links_.push_back(
        std::make_unique<datagram_link>(loop_, timers_, advertised, control));
    daemon.settings_path = options_.folder + "/" + daemon.id + ".json";
    daemons_.push_back(std::move(daemon));
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    std::ofstream file(daemons_[i].settings_path);
    file << settings_json(i);
  }
}

deployment::~deployment() {
  for (daemon_process& daemon : daemons_) {
    if (!daemon.running()) continue;
    ::kill(daemon.pid, SIGKILL);
    ::waitpid(daemon.pid, nullptr, 0);
  }
}

void deployment::add_service(const std::string& name, std::size_t count) {
  services_.push_back(name);
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = leafs_.size();
    const endpoint listen{
        loopback_address(options_.net + leaf_net_offset, index), leaf_port};
    leaf_links_.push_back(std::make_unique<link>(
        loop_, timers_,
        endpoint{loopback_address(options_.net + leaf_link_net_offset, index),
                 leaf_port},
        listen));
    leafs_.push_back(std::make_unique<standins::leaf>(
        loop_, timers_,
        standins::leaf::options{
            .id = "i-" + std::to_string(index),
            .service = name,
            .data_centre = data_centre_name(i),
            .listen = listen,
            .advertised = leaf_links_.back()->listen_endpoint(),
            .seed = hash_combine(options_.seed, index)},
        execution_log_));
    register_leaf(*leafs_.back());
  }
}

void deployment::register_leaf(const standins::leaf& leaf) {
  put(leaf_key(leaf), leaf.registration());
}

void deployment::deregister_leaf(const standins::leaf& leaf) {
  remove(leaf_key(leaf));
}

void deployment::put(const std::string& key, const json& value) {
  written_[key] = value;
  store_.put(key, value);
}

void deployment::remove(const std::string& key) {
  written_[key] = json();
  store_.remove(key);
}

std::vector<std::string> deployment::written_keys() const {
  std::vector<std::string> keys;
  std::ranges::transform(written_, std::back_inserter(keys),
                         [](const auto& entry) { return entry.first; });
  return keys;
}

void deployment::write_again(const std::string& key) {
  const bool ended = std::ranges::any_of(leafs_, [&key](const auto& leaf) {
    return leaf_key(*leaf) == key && !leaf->running();
  });
  if (ended) return;
  const json value = written_.at(key);
  if (value.is_null()) {
    store_.remove(key);
  } else {
    store_.put(key, value);
  }
}

void deployment::set_data_centre_out(const std::string& data_centre, bool out) {
  const std::string key = "op/evacuate/" + data_centre;
  if (out) {
    put(key, json::object());
  } else {
    remove(key);
  }
}

std::uint64_t deployment::publish_configuration(bool second_shards) {
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
  json limited = route("limited", "idempotent");
  limited["service"] = "vault";
  json services = json::array();
  for (const std::string& service : services_) {
    services.push_back({{"name", service},
                        {"healthPath", "/healthz"},
                        {"maxConns", 40},
                        {"warmupS", 0},
                        {"warmupPerS", 0}});
  }
  json config = {{"version", version_},
                 {"routes", {gather, single, once, changing, limited}},
                 {"services", std::move(services)}};
  if (options_.accounts) {
    config["tenants"] = {{{"name", "unlimited"}, {"apiKeys", {unlimited_key}}},
                         {{"name", "limited"},
                          {"apiKeys", {limited_key}},
                          {"ratePerS", account_rate},
                          {"burst", account_burst}}};
  }
  put("op/config", config);
  return version_;
}

std::vector<request_kind> deployment::request_kinds() const {
  std::vector<request_kind> kinds{
      {.name = "gather",
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
  if (!options_.accounts) return kinds;
  for (request_kind& kind : kinds)
    kind.key = unlimited_key;
  kinds.push_back({.name = "limited",
                   .path = "/limited/q",
                   .key = limited_key,
                   .over_quota = true,
                   .weight = 2});
  return kinds;
}

std::string deployment::service_of(const std::string& leaf) const {
  const auto found = std::ranges::find_if(leafs_, [&leaf](const auto& each) {
    return each->settings().id == leaf;
  });
  return found == leafs_.end() ? std::string{} : (*found)->settings().service;
}

std::vector<endpoint> deployment::address_servers() const {
  std::vector<endpoint> endpoints;
  std::ranges::transform(daemons_, std::back_inserter(endpoints),
                         [](const daemon_process& daemon) {
                           return endpoint{daemon.ip, addresses_port};
                         });
  return endpoints;
}

std::string deployment::settings_json(std::size_t index) const {
  const daemon_process& daemon = daemons_[index];
  const auto daemon_endpoint = [&daemon](std::uint16_t port) {
    return format_endpoint({daemon.ip, port});
  };
  json seed_endpoints = json::array();
  for (std::size_t i = 0; i < std::min(seed_daemons, daemons_.size()); ++i)
    seed_endpoints.push_back(
        format_endpoint({daemons_[i].ip, advertised_control_port}));
  const json settings = {
      {"id", daemon.id},
      {"data_centre", daemon.data_centre},
      {"region", "r"},
      {"listen",
       {{"callers", daemon_endpoint(callers_port)},
        {"readiness", daemon_endpoint(readiness_port)},
        {"addresses", daemon_endpoint(addresses_port)},
        {"control", daemon_endpoint(control_port)},
        {"control_announced", daemon_endpoint(advertised_control_port)},
        {"metrics", daemon_endpoint(metrics_port)}}},
      {"seeds", std::move(seed_endpoints)},
      {"store", format_endpoint(store_links_[index]->listen_endpoint())},
      {"first_deployment", false},
      {"retries",
       {{"ratio", retry_ratio},
        {"window", format_duration(retry_window)},
        {"slack", retry_slack}}},
      {"quota",
       {{"window", format_duration(quota_window)},
        {"excess", quota_excess},
        {"slack", quota_slack}}},
      {"act_within",
       {{"leaf_leaves", format_duration(drain_bound)},
        {"configuration", format_duration(configuration_bound)}}},
      {"stop_within", format_duration(stop_within)},
      {"longest_keep", "5s"},
      {"processor", {{"share", 0.25}, {"speed", 1}}},
      {"max_descriptors", 4096}};
  return settings.dump(1);
}

void deployment::set_peer_link_mode(std::size_t index, link_mode mode) {
  peer_links_[index]->set_mode(mode);
  peer_datagram_links_[index]->set_mode(mode);
}

void deployment::start_daemon(std::size_t index) {
  daemon_process& daemon = daemons_[index];
  const std::string log = options_.folder + "/" + daemon.id + ".log";
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  // The daemon must not inherit the sockets of the fakes.
  ::posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  std::string program = options_.daemon_program;
  std::string flag = "--settings_from=MEDLARLOFT_SETTINGS";
  std::string variable = "MEDLARLOFT_SETTINGS=" + daemon.settings_path;
  std::vector<char*> arguments{program.data(), flag.data(), nullptr};
  std::vector<char*> environment{variable.data(), nullptr};
  if (::posix_spawn(&daemon.pid, program.c_str(), &files, nullptr,
                    arguments.data(), environment.data()) != 0) {
    daemon.pid = -1;
  }
  ::posix_spawn_file_actions_destroy(&files);
  daemon.paused = false;
  daemon.killed = false;
  daemon.stop_requested_at.reset();
  ++daemon.starts;
}

void deployment::send_signal(std::size_t index, int signal_number) {
  daemon_process& daemon = daemons_[index];
  if (!daemon.running()) return;
  if (on_signal) on_signal(daemon);
  if (signal_number == SIGKILL) daemon.killed = true;
  if (signal_number == SIGSTOP) daemon.paused = true;
  if (signal_number == SIGCONT) daemon.paused = false;
  if (signal_number == SIGTERM && !daemon.stop_requested_at) {
    daemon.stop_requested_at = steady_clock::now();
  }
  ::kill(daemon.pid, signal_number);
}

bool deployment::responses_arrive(const std::string& leaf) const {
  const auto found = std::ranges::find_if(leafs_, [&leaf](const auto& each) {
    return each->settings().id == leaf;
  });
  const auto index = static_cast<std::size_t>(found - leafs_.begin());
  return index < leafs_.size() &&
         leaf_links_[index]->mode() == link_mode::forwarding;
}

duration deployment::processor_time() const {
  // The 14th and 15th fields are user and kernel time in clock ticks.
  constexpr int user_field = 14;
  double ticks = 0;
  for (const daemon_process& daemon : daemons_) {
    std::ifstream file("/proc/" + std::to_string(daemon.pid) + "/stat");
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
    daemon_process& daemon = daemons_[i];
    int status = 0;
    if (!daemon.running() ||
        ::waitpid(daemon.pid, &status, WNOHANG) != daemon.pid) {
      continue;
    }
    daemon.pid = -1;
    return process_end{
        .daemon = i,
        .exited = WIFEXITED(status),
        .code = WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status)};
  }
  return std::nullopt;
}

}  // namespace medlarloft::soak
