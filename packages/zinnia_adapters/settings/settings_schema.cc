#include "zinnia_adapters/settings/settings_schema.h"

namespace zinnia {

// clang-format off
std::string_view SettingsSchema() {
  static constexpr std::string_view kSchema = R"schema(
{
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of one zinniad",
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "region", "failure_domain", "callers_address", "operators_address", "peer_address", "store_addresses", "instance_list_address", "cluster_secret_file", "resume_secret_file", "operator_key_file"],
  "properties": {
    "instance": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$", "description": "a name of 1 to 63 letters, digits, '_', '.' or '-', unique among the instances"},
    "region": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$", "description": "the region's name: 1 to 63 letters, digits, '_', '.' or '-'"},
    "failure_domain": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$", "description": "the failure domain's name: 1 to 63 letters, digits, '_', '.' or '-'"},
    "callers_address": {"type": "string", "description": "IP:PORT that callers reach, with an IP number"},
    "operators_address": {"type": "string", "description": "IP:PORT of the operators' server, with an IP number"},
    "peer_address": {"type": "string", "description": "IP:PORT that other instances reach over TCP and UDP, with an IP number"},
    "store_addresses": {"type": "array", "minItems": 1, "maxItems": 16, "items": {"type": "string", "description": "IP:PORT of the key-value store, with an IP number"}, "description": "a list of 1 to 16 IP:PORT of the key-value store"},
    "instance_list_address": {"type": "string", "description": "IP:PORT of the platform's instance list, with an IP number"},
    "seeds": {"type": "array", "maxItems": 64, "items": {"type": "string", "description": "IP:PORT of another instance's peer_address"}, "description": "a list of at most 64 IP:PORT, peer addresses of other instances"},
    "cluster_secret_file": {"type": "string", "minLength": 1, "maxLength": 4096, "description": "the name of a file with the secret that all instances share"},
    "resume_secret_file": {"type": "string", "minLength": 1, "maxLength": 4096, "description": "the name of a file with the secret that signs resume tokens"},
    "operator_key_file": {"type": "string", "minLength": 1, "maxLength": 4096, "description": "the name of a file with the key that operators send"},
    "log_level": {"type": "string", "enum": ["debug", "info", "warning", "error"], "description": "one of debug, info, warning, error"},
    "traffic_threads": {"type": "integer", "minimum": 1, "maximum": 64, "description": "a whole number of threads from 1 to 64"},
    "drain_timeout_ms": {"type": "integer", "minimum": 0, "maximum": 86400000, "description": "a whole number of milliseconds from 0 to 86400000"},
    "metrics_need_key": {"type": "boolean", "description": "true or false: whether GET /metrics asks for the operators' key"},
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "description": "an object with max_body_bytes, max_header_bytes, max_sessions and max_connections, each optional",
      "properties": {
        "max_body_bytes": {"type": "integer", "minimum": 1024, "maximum": 67108864, "description": "a whole number of bytes from 1024 to 67108864"},
        "max_header_bytes": {"type": "integer", "minimum": 1024, "maximum": 1048576, "description": "a whole number of bytes from 1024 to 1048576"},
        "max_sessions": {"type": "integer", "minimum": 1, "maximum": 1000000, "description": "a whole number of sessions from 1 to 1000000"},
        "max_connections": {"type": "integer", "minimum": 1, "maximum": 1000000, "description": "a whole number of connections from 1 to 1000000"}
      }
    }
  }
}
)schema";
  return kSchema.substr(1);
}
// clang-format on

}  // namespace zinnia
