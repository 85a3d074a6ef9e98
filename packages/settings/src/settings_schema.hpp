#pragma once

/// The JSON Schema of a daemon's settings.

#include <string_view>

namespace medlarloft::settings::detail {

inline constexpr std::string_view settings_schema = R"json({
  "type": "object", "additionalProperties": false,
  "required": ["id", "data_centre", "listen", "platform"],
  "definitions": {
    "time": {"type": "string", "maxLength": 32},
    "address": {"type": "string", "maxLength": 64},
    "count": {"type": "integer", "minimum": 1, "maximum": 1000000}
  },
  "properties": {
    "id": {"type": "string", "minLength": 1, "maxLength": 128,
           "pattern": "^[A-Za-z0-9._-]+$"},
    "data_centre": {"type": "string", "minLength": 1, "maxLength": 128},
    "traffic_threads": {"type": "integer", "minimum": 1, "maximum": 256},
    "timeline_events": {"$ref": "#/definitions/count"},
    "log_level": {"type": "string",
                  "enum": ["debug", "info", "warning", "error"]},
    "listen": {
      "type": "object", "additionalProperties": false,
      "required": ["callers", "peers", "control", "operators"],
      "properties": {
        "callers": {"$ref": "#/definitions/address"},
        "peers": {"$ref": "#/definitions/address"},
        "control": {"$ref": "#/definitions/address"},
        "operators": {"$ref": "#/definitions/address"}}},
    "platform": {
      "type": "object", "additionalProperties": false,
      "required": ["configuration", "hosts"],
      "properties": {
        "configuration": {"$ref": "#/definitions/address"},
        "hosts": {"$ref": "#/definitions/address"},
        "host_list_every": {"$ref": "#/definitions/time"}}},
    "fleet": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "expected_daemons": {"$ref": "#/definitions/count"},
        "expected_data_centres": {"$ref": "#/definitions/count"}}},
    "callers": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "max_header_bytes": {"$ref": "#/definitions/count"},
        "max_body_bytes": {"$ref": "#/definitions/count"},
        "max_connections": {"$ref": "#/definitions/count"},
        "request_timeout": {"$ref": "#/definitions/time"},
        "idle_timeout": {"$ref": "#/definitions/time"},
        "keep_addresses": {"$ref": "#/definitions/time"},
        "max_clock_skew": {"$ref": "#/definitions/time"},
        "repeat_window": {"$ref": "#/definitions/time"}}},
    "query": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "concurrent": {"$ref": "#/definitions/count"},
        "queue": {"$ref": "#/definitions/count"},
        "leaf_queue": {"$ref": "#/definitions/count"},
        "hedging": {"type": "boolean"},
        "extra_share": {"type": "number", "minimum": 0, "maximum": 1},
        "hedge_quantile": {"type": "number", "minimum": 0.5,
                           "maximum": 0.9999},
        "hedge_after": {"$ref": "#/definitions/time"},
        "leaf_timeout": {"$ref": "#/definitions/time"}}},
    "control": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "probe_period": {"$ref": "#/definitions/time"},
        "probe_timeout": {"$ref": "#/definitions/time"},
        "view_expiry": {"$ref": "#/definitions/time"},
        "hold_off": {"$ref": "#/definitions/time"},
        "takeover_after": {"$ref": "#/definitions/time"},
        "sleep_gap": {"$ref": "#/definitions/time"},
        "seeds": {"type": "array", "maxItems": 64,
                  "items": {"$ref": "#/definitions/address"}}}},
    "stop": {
      "type": "object", "additionalProperties": false,
      "properties": {"limit": {"$ref": "#/definitions/time"}}}
  }
})json";

}  // namespace medlarloft::settings::detail
