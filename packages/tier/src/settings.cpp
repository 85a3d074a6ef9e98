#include <algorithm>
#include <nlohmann/json.hpp>

#include "medlarloft/tier.hpp"

namespace medlarloft::tier {
namespace {

using documents::document_errc;
using documents::document_error;
using nlohmann::json;

// Reads values by dotted path and keeps the first error.
class settings_reader {
 public:
  explicit settings_reader(const json& root) : root_(root) {}

  void read(const std::string& path, std::string& out) {
    const json* value = find(path);
    if (value == nullptr) return;
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
      set_error(path, *value, "is not a non-empty string");
      return;
    }
    out = value->get<std::string>();
  }

  void read(const std::string& path, endpoint& out) {
    std::string text;
    read(path, text);
    if (text.empty()) return;
    const auto parsed = parse_endpoint(text);
    if (parsed) {
      out = parsed.value();
    } else {
      set_error(path, text, "is not an IP address and port");
    }
  }

  void read(const std::string& path, duration& out) {
    std::string text;
    read(path, text);
    if (text.empty()) return;
    const auto parsed = parse_duration(text);
    if (parsed && parsed.value() > duration::zero()) {
      out = parsed.value();
    } else {
      set_error(path, text, "is not a positive duration with a unit");
    }
  }

  void read(const std::string& path, double& out) {
    const json* value = find(path);
    if (value == nullptr) return;
    if (!value->is_number() || value->get<double>() < 0) {
      set_error(path, *value, "is not a non-negative number");
      return;
    }
    out = value->get<double>();
  }

  void read(const std::string& path, bool& out) {
    const json* value = find(path);
    if (value == nullptr) return;
    if (!value->is_boolean()) {
      set_error(path, *value, "is neither true nor false");
      return;
    }
    out = value->get<bool>();
  }

  void read(const std::string& path, std::vector<endpoint>& out) {
    const json* value = find(path);
    if (value == nullptr) return;
    if (!value->is_array()) {
      set_error(path, *value, "is not a list");
      return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
      const json& element = value->at(i);
      const auto parsed =
          parse_endpoint(element.is_string() ? element.get<std::string>() : "");
      if (parsed) {
        out.push_back(parsed.value());
      } else {
        set_error(path + "." + std::to_string(i), element,
                  "is not an IP address and port");
      }
    }
  }

  /// Leaves `out` unchanged if the setting is absent.
  void read_optional(const std::string& path, double& out) {
    if (has(path)) read(path, out);
  }
  void read_optional(const std::string& path, duration& out) {
    if (has(path)) read(path, out);
  }
  void read_optional(const std::string& path, std::optional<endpoint>& out) {
    if (has(path)) read(path, out.emplace());
  }

  const std::optional<document_error>& error() const { return error_; }

 private:
  const json* find(const std::string& path) {
    const json* node = &root_;
    for (std::size_t begin = 0; begin <= path.size();) {
      const std::size_t end = std::min(path.find('.', begin), path.size());
      const std::string name = path.substr(begin, end - begin);
      if (!node->is_object() || !node->contains(name)) {
        set_error(path, json(), "is missing");
        return nullptr;
      }
      node = &node->at(name);
      begin = end + 1;
    }
    return node;
  }

  bool has(const std::string& path) const {
    std::string pointer = "/" + path;
    std::ranges::replace(pointer, '.', '/');
    return root_.contains(json::json_pointer(pointer));
  }

  void set_error(const std::string& path, const json& value,
                 std::string reason) {
    if (error_) return;
    error_ = document_error{document_errc::value, path,
                            documents::excerpt(value), std::move(reason)};
  }

  const json& root_;
  std::optional<document_error> error_;
};

}  // namespace

documents::document_result<settings> read_settings(std::string_view text) {
  const auto document = documents::parse(text);
  if (!document) return document.error();
  settings_reader reader(document.value());
  settings parsed;
  reader.read("id", parsed.id);
  reader.read("data_centre", parsed.data_centre);
  reader.read("region", parsed.region);
  reader.read("listen.callers", parsed.listen.callers);
  reader.read("listen.readiness", parsed.listen.readiness);
  reader.read("listen.addresses", parsed.listen.addresses);
  reader.read("listen.control", parsed.listen.control);
  reader.read_optional("listen.control_announced",
                       parsed.listen.control_announced);
  reader.read("listen.metrics", parsed.listen.metrics);
  reader.read("seeds", parsed.seeds);
  reader.read("store", parsed.store);
  reader.read("first_deployment", parsed.first_deployment);
  reader.read("retries.ratio", parsed.retries.ratio);
  reader.read("retries.window", parsed.retries.window);
  reader.read("retries.slack", parsed.retries.slack);
  reader.read_optional("quota.window", parsed.quota.window);
  reader.read_optional("quota.excess", parsed.quota.excess);
  reader.read_optional("quota.slack", parsed.quota.slack);
  reader.read("act_within.leaf_leaves", parsed.act_within.leaf_leaves);
  reader.read("act_within.configuration", parsed.act_within.configuration);
  reader.read("stop_within", parsed.stop_within);
  reader.read("longest_keep", parsed.longest_keep);
  reader.read("processor.share", parsed.processor.share);
  reader.read("processor.speed", parsed.processor.speed);
  double descriptors = 0;
  reader.read("max_descriptors", descriptors);
  constexpr double bytes_per_mb = 1 << 20;
  double memory_mb = static_cast<double>(parsed.memory_bytes) / bytes_per_mb;
  reader.read_optional("memory_mb", memory_mb);
  reader.read_optional("link_mbps", parsed.link_mbps);
  if (reader.error()) return *reader.error();
  parsed.memory_bytes = static_cast<std::size_t>(memory_mb * bytes_per_mb);
  parsed.max_descriptors = static_cast<std::size_t>(descriptors);
  return parsed;
}

}  // namespace medlarloft::tier
