#include <algorithm>
#include <nlohmann/json.hpp>

#include "medlarloft/tier.hpp"

namespace medlarloft::tier {
namespace {

using documents::document_errc;
using documents::document_error;
using nlohmann::json;

// Reads values by their dotted path; the first problem is kept.
class path_reader {
 public:
  explicit path_reader(const json& root) : root_(root) {}

  void read(const std::string& path, std::string& into) {
    const json* value = find(path);
    if (value == nullptr) return;
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
      fail(path, *value, "is not a text");
      return;
    }
    into = value->get<std::string>();
  }

  void read(const std::string& path, endpoint& into) {
    std::string text;
    read(path, text);
    if (text.empty()) return;
    const auto parsed = parse_endpoint(text);
    if (parsed) {
      into = parsed.value();
    } else {
      fail(path, text, "is not an IP address and port");
    }
  }

  void read(const std::string& path, duration& into) {
    std::string text;
    read(path, text);
    if (text.empty()) return;
    const auto parsed = parse_duration(text);
    if (parsed && parsed.value() > duration::zero()) {
      into = parsed.value();
    } else {
      fail(path, text, "is not a positive duration with a unit");
    }
  }

  void read(const std::string& path, double& into) {
    const json* value = find(path);
    if (value == nullptr) return;
    if (!value->is_number() || value->get<double>() < 0) {
      fail(path, *value, "is not a number of 0 or more");
      return;
    }
    into = value->get<double>();
  }

  void read(const std::string& path, bool& into) {
    const json* value = find(path);
    if (value == nullptr) return;
    if (!value->is_boolean()) {
      fail(path, *value, "is neither true nor false");
      return;
    }
    into = value->get<bool>();
  }

  void read(const std::string& path, std::vector<endpoint>& into) {
    const json* value = find(path);
    if (value == nullptr) return;
    if (!value->is_array()) {
      fail(path, *value, "is not a list");
      return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
      const json& each = value->at(i);
      const auto parsed =
          parse_endpoint(each.is_string() ? each.get<std::string>() : "");
      if (parsed) {
        into.push_back(parsed.value());
      } else {
        fail(path + "." + std::to_string(i), each,
             "is not an IP address and port");
      }
    }
  }

  /// Leaves the value as it is where the settings say nothing of it.
  void read_if_there(const std::string& path, double& into) {
    if (has(path)) read(path, into);
  }
  void read_if_there(const std::string& path, std::optional<endpoint>& into) {
    if (has(path)) read(path, into.emplace());
  }

  const std::optional<document_error>& problem() const { return problem_; }

 private:
  const json* find(const std::string& path) {
    const json* at = &root_;
    for (std::size_t begin = 0; begin <= path.size();) {
      const std::size_t end = std::min(path.find('.', begin), path.size());
      const std::string name = path.substr(begin, end - begin);
      if (!at->is_object() || !at->contains(name)) {
        fail(path, json(), "is missing");
        return nullptr;
      }
      at = &at->at(name);
      begin = end + 1;
    }
    return at;
  }

  bool has(const std::string& path) const {
    std::string pointer = "/" + path;
    std::ranges::replace(pointer, '.', '/');
    return root_.contains(json::json_pointer(pointer));
  }

  void fail(const std::string& path, const json& value, std::string reason) {
    if (problem_) return;
    problem_ = document_error{document_errc::value, path,
                              documents::excerpt(value), std::move(reason)};
  }

  const json& root_;
  std::optional<document_error> problem_;
};

}  // namespace

documents::document_result<settings> read_settings(std::string_view text) {
  const auto document = documents::parse(text);
  if (!document) return document.error();
  path_reader from(document.value());
  settings values;
  from.read("id", values.id);
  from.read("data_centre", values.data_centre);
  from.read("region", values.region);
  from.read("listen.callers", values.listen.callers);
  from.read("listen.readiness", values.listen.readiness);
  from.read("listen.addresses", values.listen.addresses);
  from.read("listen.control", values.listen.control);
  from.read_if_there("listen.control_announced",
                     values.listen.control_announced);
  from.read("listen.metrics", values.listen.metrics);
  from.read("seeds", values.seeds);
  from.read("store", values.store);
  from.read("first_deployment", values.first_deployment);
  from.read("retries.ratio", values.retries.ratio);
  from.read("retries.window", values.retries.window);
  from.read("retries.slack", values.retries.slack);
  from.read("act_within.leaf_leaves", values.act_within.leaf_leaves);
  from.read("act_within.configuration", values.act_within.configuration);
  from.read("stop_within", values.stop_within);
  from.read("longest_keep", values.longest_keep);
  from.read("processor.share", values.processor.share);
  from.read("processor.speed", values.processor.speed);
  double descriptors = 0;
  from.read("max_descriptors", descriptors);
  constexpr double bytes_per_mb = 1 << 20;
  double memory_mb = static_cast<double>(values.memory_bytes) / bytes_per_mb;
  from.read_if_there("memory_mb", memory_mb);
  if (from.problem()) return *from.problem();
  values.memory_bytes = static_cast<std::size_t>(memory_mb * bytes_per_mb);
  values.max_descriptors = static_cast<std::size_t>(descriptors);
  return values;
}

}  // namespace medlarloft::tier
