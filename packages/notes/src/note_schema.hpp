#pragma once

/// The JSON Schema of a release note and of the committing value.

#include <string_view>

namespace medlarloft::notes::detail {

inline constexpr std::string_view note_schema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["version", "base"],
  "properties": {
    "version": {"type": "integer", "minimum": 1},
    "base": {"type": "integer", "minimum": 0},
    "title": {"type": "string"},
    "data_centres": {"$ref": "#/definitions/data_centre_changes"},
    "daemons": {"$ref": "#/definitions/daemon_changes"},
    "backend_servers": {"$ref": "#/definitions/leaf_changes"},
    "services": {"$ref": "#/definitions/service_changes"}
  },
  "definitions": {
    "id": {"type": "string", "minLength": 1, "maxLength": 128,
           "pattern": "^[A-Za-z0-9._-]+$"},
    "ids": {"type": "array", "items": {"$ref": "#/definitions/id"}},
    "text": {"type": "string", "maxLength": 64},
    "data_centre_changes": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "add": {"type": "array",
                "items": {"$ref": "#/definitions/data_centre"}},
        "change": {"type": "array",
                   "items": {"$ref": "#/definitions/data_centre"}},
        "withdraw": {"$ref": "#/definitions/ids"}}},
    "data_centre": {
      "type": "object", "additionalProperties": false,
      "required": ["id", "region"],
      "properties": {
        "id": {"$ref": "#/definitions/id"},
        "region": {"$ref": "#/definitions/id"},
        "out": {"type": "boolean"}}},
    "daemon_changes": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "add": {"type": "array", "items": {"$ref": "#/definitions/daemon"}},
        "change": {"type": "array",
                   "items": {"$ref": "#/definitions/daemon"}},
        "withdraw": {"$ref": "#/definitions/ids"}}},
    "daemon": {
      "type": "object", "additionalProperties": false,
      "required": ["id", "data_centre", "callers", "peers", "control"],
      "properties": {
        "id": {"$ref": "#/definitions/id"},
        "data_centre": {"$ref": "#/definitions/id"},
        "callers": {"$ref": "#/definitions/text"},
        "peers": {"$ref": "#/definitions/text"},
        "control": {"$ref": "#/definitions/text"}}},
    "leaf_changes": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "add": {"type": "array", "items": {"$ref": "#/definitions/leaf"}},
        "change": {"type": "array", "items": {"$ref": "#/definitions/leaf"}},
        "withdraw": {"$ref": "#/definitions/ids"}}},
    "leaf": {
      "type": "object", "additionalProperties": false,
      "required": ["id", "data_centre", "address", "slots", "connections"],
      "properties": {
        "id": {"$ref": "#/definitions/id"},
        "data_centre": {"$ref": "#/definitions/id"},
        "address": {"$ref": "#/definitions/text"},
        "slots": {"type": "integer", "minimum": 1, "maximum": 65535},
        "connections": {"type": "integer", "minimum": 1, "maximum": 65535},
        "connection_cost": {"$ref": "#/definitions/text"},
        "leaving": {"type": "boolean"},
        "cold": {
          "type": "object", "additionalProperties": false,
          "properties": {
            "concurrent": {"type": "integer", "minimum": 1,
                           "maximum": 65535},
            "warm_after": {"type": "integer", "minimum": 1,
                           "maximum": 1000000}}}}},
    "service_changes": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "add": {"type": "array", "items": {"$ref": "#/definitions/service"}},
        "change": {"type": "array",
                   "items": {"$ref": "#/definitions/service"}},
        "withdraw": {"$ref": "#/definitions/ids"}}},
    "service": {
      "type": "object", "additionalProperties": false,
      "required": ["id", "class", "deadline", "partitions"],
      "properties": {
        "id": {"$ref": "#/definitions/id"},
        "class": {"type": "string",
                  "enum": ["critical", "important", "ordinary"]},
        "deadline": {"$ref": "#/definitions/text"},
        "coverage_wanted": {"type": "number", "minimum": 0, "maximum": 1},
        "idempotent": {"type": "boolean"},
        "stop_early_after": {"$ref": "#/definitions/text"},
        "queries_per_second": {"type": "number", "minimum": 0},
        "leaf_time": {"$ref": "#/definitions/text"},
        "partitions": {"type": "array", "minItems": 1,
                       "items": {"$ref": "#/definitions/partition"}}}},
    "partition": {
      "type": "object", "additionalProperties": false,
      "required": ["shards"],
      "properties": {
        "from_snapshot": {"type": "integer", "minimum": 0},
        "shards": {"type": "array", "minItems": 1,
                   "items": {"$ref": "#/definitions/shard"}}}},
    "shard": {
      "type": "object", "additionalProperties": false,
      "required": ["id", "from", "to", "replicas"],
      "properties": {
        "id": {"$ref": "#/definitions/id"},
        "from": {"type": "integer", "minimum": 0, "maximum": 4294967296},
        "to": {"type": "integer", "minimum": 0, "maximum": 4294967296},
        "replicas": {"$ref": "#/definitions/ids"}}}
  }
})json";

inline constexpr std::string_view head_schema = R"json({
  "type": "object", "additionalProperties": false,
  "required": ["version", "digest", "chain"],
  "properties": {
    "version": {"type": "integer", "minimum": 1},
    "digest": {"type": "string", "pattern": "^[0-9a-f]{16}$"},
    "chain": {"type": "array", "minItems": 1, "items": {
      "type": "object", "additionalProperties": false,
      "required": ["version", "base", "keys"],
      "properties": {
        "version": {"type": "integer", "minimum": 1},
        "base": {"type": "integer", "minimum": 0},
        "keys": {"type": "array", "minItems": 1,
                 "items": {"type": "string", "maxLength": 256}}}}}
  }
})json";

}  // namespace medlarloft::notes::detail
