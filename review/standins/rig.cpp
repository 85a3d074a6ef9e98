#include "rig.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/string.hpp>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

constexpr int listen_backlog = 256;
constexpr std::size_t read_bytes = 65536;

std::string encode_base64(const std::string& bytes) {
  namespace codec = boost::beast::detail::base64;
  std::string text(codec::encoded_size(bytes.size()), '\0');
  text.resize(codec::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

int open_socket() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) throw std::runtime_error("cannot open a socket");
  return descriptor;
}

void set_no_delay(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// Binds to a free port and returns it.
std::uint16_t bind_any(int descriptor) {
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  auto* const raw = reinterpret_cast<sockaddr*>(&address);
  if (::bind(descriptor, raw, size) != 0 ||
      ::getsockname(descriptor, raw, &size) != 0) {
    throw std::runtime_error("cannot bind to a port");
  }
  return ntohs(address.sin_port);
}

bool equal_names(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

std::string trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(' ');
  if (first == std::string::npos) return {};
  return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

message parse_head(const std::string& head) {
  message parsed;
  std::size_t begin = 0;
  while (begin < head.size()) {
    const std::size_t end = std::min(head.find("\r\n", begin), head.size());
    const std::string line = head.substr(begin, end - begin);
    begin = end + 2;
    if (parsed.start_line.empty()) {
      parsed.start_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    parsed.headers.emplace_back(line.substr(0, colon),
                                trimmed(line.substr(colon + 1)));
  }
  return parsed;
}

std::string word(const std::string& line, int index) {
  std::size_t begin = 0;
  for (; index > 0; --index) {
    const std::size_t space = line.find(' ', begin);
    if (space == std::string::npos) return {};
    begin = space + 1;
  }
  return line.substr(begin, line.find(' ', begin) - begin);
}

std::uint64_t query_number(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return 0;
  return std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace

bool with_trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

event_record::event_record(const std::string& path) : file_(path) {}

void event_record::write(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      steady_clock::now() - started_at_);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%10.3f ",
                static_cast<double>(elapsed.count()) / 1000.0);
  file_ << time.data() << line << std::endl;
}

std::string message::header(std::string_view name) const {
  const auto found = std::ranges::find_if(headers, [name](const auto& field) {
    return equal_names(field.first, name);
  });
  return found == headers.end() ? std::string{} : found->second;
}

std::string message::method() const {
  return word(start_line, 0);
}

std::string message::target() const {
  return word(start_line, 1);
}

int message::status() const {
  return std::atoi(word(start_line, 1).c_str());
}

stream::~stream() {
  ::close(descriptor_);
}

std::unique_ptr<stream> stream::connect(std::uint16_t port,
                                        const std::string& ip) {
  const int descriptor = open_socket();
  set_no_delay(descriptor);
  sockaddr_in address = loopback(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  return std::make_unique<stream>(descriptor);
}

bool stream::write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent =
        ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool stream::fill(time_point deadline) {
  int wait_ms = -1;
  if (deadline != time_point::max()) {
    const auto left =
        std::chrono::ceil<milliseconds>(deadline - steady_clock::now());
    wait_ms = static_cast<int>(std::max<std::int64_t>(left.count(), 0));
  }
  pollfd waiting{descriptor_, POLLIN, 0};
  if (::poll(&waiting, 1, wait_ms) <= 0) return false;
  std::string bytes(read_bytes, '\0');
  const ssize_t count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count <= 0) return false;
  buffer_.append(bytes, 0, static_cast<std::size_t>(count));
  return true;
}

std::optional<message> stream::read(time_point deadline) {
  std::size_t head_end = std::string::npos;
  while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos)
    if (!fill(deadline)) return std::nullopt;
  message parsed = parse_head(buffer_.substr(0, head_end));
  buffer_.erase(0, head_end + 4);
  const std::string length = parsed.header("Content-Length");
  const std::size_t body_bytes = std::strtoull(length.c_str(), nullptr, 10);
  while (buffer_.size() < body_bytes)
    if (!fill(deadline)) return std::nullopt;
  parsed.body = buffer_.substr(0, body_bytes);
  buffer_.erase(0, body_bytes);
  return parsed;
}

bool stream::closed_by_peer() {
  char byte = 0;
  const ssize_t count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

listener::listener(std::function<void(std::shared_ptr<stream>)> serve) {
  const int descriptor = open_socket();
  port_ = bind_any(descriptor);
  if (::listen(descriptor, listen_backlog) != 0)
    throw std::runtime_error("cannot listen");
  std::thread([descriptor, serve = std::move(serve)] {
    for (;;) {
      const int accepted =
          ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      set_no_delay(accepted);
      std::thread(serve, std::make_shared<stream>(accepted)).detach();
    }
  }).detach();
}

std::uint16_t free_port() {
  // Below the range from which the system takes ports for outgoing connections.
  static std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> any(20000, 31999);
  for (;;) {
    const auto port = static_cast<std::uint16_t>(any(random));
    const int descriptor = open_socket();
    const sockaddr_in address = loopback(port);
    const bool bound =
        ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) == 0;
    ::close(descriptor);
    if (bound) return port;
  }
}

store::store() {
  listener_ = std::make_unique<listener>(
      [this](const std::shared_ptr<stream>& connection) {
        serve(*connection);
      });
}

void store::put(const std::string& key, const nlohmann::json& value) {
  const std::scoped_lock lock(mutex_);
  item& written = items_[key];
  written.value = encode_base64(value.dump());
  written.revision = ++revision_;
  if (written.created == 0 || written.deleted) written.created = revision_;
  written.deleted = false;
  changed_.notify_all();
}

void store::remove(const std::string& key) {
  const std::scoped_lock lock(mutex_);
  item& removed = items_[key];
  removed.deleted = true;
  removed.revision = ++revision_;
  changed_.notify_all();
}

void store::serve(stream& connection) {
  while (const auto request = connection.read()) {
    const std::string target = request->target();
    const bool watch = target.starts_with("/kv-watch");
    const std::string body =
        watch ? changes(query_number(target, "after"),
                        milliseconds(query_number(target, "waitMs")))
              : listing();
    const bool sent = connection.write(
        response_text(200, {{"Content-Type", "application/json"}}, body));
    if (!sent) return;
  }
}

std::string store::listing() {
  const std::scoped_lock lock(mutex_);
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [key, each] : items_) {
    if (each.deleted) continue;
    items.push_back({{"key", key},
                     {"value", each.value},
                     {"rev", each.revision},
                     {"created", each.created},
                     {"lease", 0}});
  }
  return nlohmann::json{
      {"items", items}, {"hasMore", false}, {"currentRev", revision_}}
      .dump();
}

std::string store::changes(std::uint64_t after, milliseconds wait) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait, [this, after] { return revision_ > after; });
  nlohmann::json events = nlohmann::json::array();
  for (const auto& [key, each] : items_) {
    if (each.revision <= after) continue;
    if (each.deleted) {
      events.push_back(
          {{"key", key}, {"rev", each.revision}, {"deleted", true}});
    } else {
      events.push_back({{"key", key},
                        {"value", each.value},
                        {"rev", each.revision},
                        {"created", each.created},
                        {"lease", 0}});
    }
  }
  std::sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
    return a.at("rev") < b.at("rev");
  });
  return nlohmann::json{{"events", events}, {"currentRev", revision_}}.dump();
}

std::string response_text(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers)
    text.append(name).append(": ").append(value).append("\r\n");
  text.append("Content-Length: ").append(std::to_string(body.size()));
  return text.append("\r\n\r\n").append(body);
}

leaf::leaf(options settings, std::function<void(leaf&, stream&)> serve)
    : options_(std::move(settings)),
      listener_([this, serve = std::move(serve)](
                    const std::shared_ptr<stream>& connection) {
        serve(*this, *connection);
      }) {}

nlohmann::json leaf::registration() const {
  return {{"service", options_.service},
          {"addr", "127.0.0.1:" + std::to_string(port())},
          {"zone", options_.zone},
          {"version", "v1"},
          {"concurrency", options_.slots},
          {"state", "ready"},
          {"warmupLeftMs", 0},
          {"callSeq", 1},
          {"born", 1}};
}

std::string leaf::receipt(const std::string& request_id) const {
  return options_.id + "." + request_id;
}

std::string leaf::answer(const message& request,
                         const std::string& body) const {
  const std::string request_id = request.header("Request-Id");
  return response_text(
      200, {{"Request-Id", request_id}, {"Server-Stamp", receipt(request_id)}},
      body);
}

std::string leaf::rejection(const message& request, int status) const {
  return response_text(
      status, {{"Request-Id", request.header("Request-Id")}, {"Not-Run", "1"}});
}

daemon_process::daemon_process(options settings)
    : options_(std::move(settings)) {}

daemon_process::~daemon_process() {
  kill();
}

void daemon_process::start() {
  const auto address = [this](std::uint16_t port) {
    return options_.ip + ":" + std::to_string(port);
  };
  const daemon_ports& ports = options_.ports;
  nlohmann::json seeds = nlohmann::json::array();
  for (const std::string& ip : options_.seeds)
    seeds.push_back(ip + ":" + std::to_string(ports.control));
  // The layout of platform/settings.json, with the bounds and limits of a
  // small deployment.
  const nlohmann::json document = {
      {"id", options_.id},
      {"data_centre", options_.zone},
      {"region", "r"},
      {"listen",
       {{"callers", address(ports.callers)},
        {"readiness", address(ports.readiness)},
        {"addresses", address(ports.addresses)},
        {"control", address(ports.control)},
        {"metrics", address(ports.metrics)}}},
      {"seeds", seeds},
      {"store", "127.0.0.1:" + std::to_string(options_.store_port)},
      {"first_deployment", options_.first_deployment},
      {"retries", {{"ratio", 0.2}, {"window", "10s"}, {"slack", 54}}},
      {"act_within", {{"leaf_leaves", "3000ms"}, {"configuration", "3000ms"}}},
      {"stop_within", "6s"},
      {"longest_keep", "5s"},
      {"processor", {{"share", 0.25}, {"speed", 1}}},
      {"max_descriptors", 4100},
      {"memory_mb", 260}};
  const std::string settings_path =
      options_.folder + "/" + options_.id + ".json";
  const std::string log_path = options_.folder + "/" + options_.id + ".log";
  std::ofstream(settings_path) << document.dump(2);
  process_ = ::fork();
  if (process_ != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (std::freopen(log_path.c_str(), "a", stdout) == nullptr) ::_exit(3);
  ::setenv("MEDLARLOFT_BOOT", settings_path.c_str(), 1);
  ::execl("target/bin/medlarloftd", "target/bin/medlarloftd",
          "--settings_from=MEDLARLOFT_BOOT", nullptr);
  ::_exit(3);
}

void daemon_process::kill() {
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  ::kill(process_, SIGCONT);
  ::waitpid(process_, nullptr, 0);
  process_ = -1;
}

bool daemon_process::await_ready(milliseconds limit) const {
  const time_point end = steady_clock::now() + limit;
  while (steady_clock::now() < end) {
    if (const auto connection =
            stream::connect(options_.ports.readiness, options_.ip)) {
      connection->write("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
      const auto response = connection->read(end);
      if (response && response->status() == 200) return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

std::unique_ptr<stream> daemon_process::connect() const {
  return stream::connect(options_.ports.callers, options_.ip);
}

void daemon_process::signal(int number) const {
  ::kill(process_, number);
}

bool daemon_process::running() {
  if (process_ <= 0) return false;
  if (::waitpid(process_, nullptr, WNOHANG) == 0) return true;
  process_ = -1;
  return false;
}

temporary_folder::temporary_folder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary folder");
  path_ = pattern;
}

temporary_folder::~temporary_folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

nlohmann::json configuration(const std::vector<route>& routes) {
  nlohmann::json route_list = nlohmann::json::array();
  std::map<std::string, bool> services;
  for (const route& each : routes) {
    route_list.push_back({{"name", each.name},
                          {"host", "host.example"},
                          {"prefix", each.prefix},
                          {"service", each.service},
                          {"kind", each.kind},
                          {"timeoutMs", each.timeout_ms},
                          {"sloMs", each.objective_ms},
                          {"attempts", each.attempts},
                          {"priority", 1}});
    services[each.service] = true;
  }
  nlohmann::json service_list = nlohmann::json::array();
  for (const auto& [name, used] : services) {
    service_list.push_back({{"name", name},
                            {"healthPath", "/healthz"},
                            {"maxConns", 100},
                            {"warmupS", 3},
                            {"warmupPerS", 20}});
  }
  return {{"version", 7},
          {"routes", route_list},
          {"services", service_list},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

std::string request_text(const std::string& method, const std::string& target,
                         const std::string& id, int deadline_ms,
                         const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  text += "Host: host.example\r\nRequest-Id: " + id + "\r\n";
  text += "Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (!body.empty())
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

}  // namespace review
