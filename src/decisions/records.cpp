// Sections
//   1. JSON text
//   2. fields and schemas
//   3. parsing a record
//   4. references between records
//   5. conversion, replacement and comparison
#include "persimmon/records.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace persimmon {
namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxDisplayLength = 60;  // longer values are truncated, or replaced by their type, in findings
constexpr std::int64_t kMaxDurationMs = 3'600'000;

error Invalid(std::string message) { return error{error_code::kInvalid, std::move(message)}; }

// ---------------------------------------------------------------------------------------------------------------------
// 1. JSON text
// ---------------------------------------------------------------------------------------------------------------------

// Parser callback that detects duplicate field names, of which the JSON library would silently keep the last, and
// nesting beyond kMaxRecordDepth.
class structure_checker {
 public:
  bool Accept(int depth, json::parse_event_t event, const json& value) {
    if (depth > kMaxRecordDepth) {
      problem_ = fmt::format("nested deeper than {} levels", kMaxRecordDepth);
    }
    if (event == json::parse_event_t::object_start) {
      names_.emplace_back();
    } else if (event == json::parse_event_t::object_end && !names_.empty()) {
      names_.pop_back();
    } else if (event == json::parse_event_t::key && !names_.empty()) {
      const auto name = value.get<std::string>();
      if (!names_.back().insert(name).second) {
        problem_ = fmt::format("duplicate field '{}' in an object", name);
      }
    }
    return true;
  }

  const std::string& Problem() const { return problem_; }

 private:
  std::vector<std::set<std::string>> names_;
  std::string problem_;
};

result<json> ParseText(std::string_view text) {
  structure_checker check;
  const auto accept = [&check](int depth, json::parse_event_t event, json& value) {
    return check.Accept(depth, event, value);
  };
  json value;
  try {
    value = json::parse(text, accept);
  } catch (const json::exception& failure) {
    return Invalid(fmt::format("not valid JSON: {}", failure.what()));
  }
  if (!check.Problem().empty()) {
    return Invalid(check.Problem());
  }
  return value;
}

result<json> ParseObject(std::string_view text) {
  if (text.size() > kMaxRecordBytes) {
    return Invalid(fmt::format("record has {} bytes; at most {} are allowed", text.size(), kMaxRecordBytes));
  }
  auto value = ParseText(text);
  if (value && !value.value().is_object()) {
    return Invalid("not a JSON object");
  }
  return value;
}

std::string FormatValue(const json& value) {
  std::string text = value.dump();
  if (text.size() > kMaxDisplayLength) {
    text = value.is_string() || value.is_structured() ? std::string(value.type_name()) + " value"
                                                      : text.substr(0, kMaxDisplayLength);
  }
  return text;
}

std::vector<std::string> SplitPath(const std::string& path) {
  const auto dot = path.find('.');
  if (dot == std::string::npos) {
    return {path};
  }
  return {path.substr(0, dot), path.substr(dot + 1)};
}

const json* FindPath(const json& object, const std::string& path) {
  const json* value = &object;
  for (const std::string& part : SplitPath(path)) {
    if (!value->is_object() || !value->contains(part)) {
      return nullptr;
    }
    value = &value->at(part);
  }
  return value;
}

void SetPath(json& object, const std::string& path, json value) {
  json* target = &object;
  for (const std::string& part : SplitPath(path)) {
    target = &(*target)[part];
  }
  *target = std::move(value);
}

// Removes a field, and its parent object if that becomes empty.
void RemovePath(json& object, const std::string& path) {
  const auto parts = SplitPath(path);
  if (parts.size() == 1) {
    object.erase(parts[0]);
    return;
  }
  json& parent = object[parts[0]];
  parent.erase(parts[1]);
  if (parent.empty()) {
    object.erase(parts[0]);
  }
}

bool IsName(std::string_view text) {
  const auto is_allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
           c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), is_allowed);
}

// Returns the record key for findings, such as "pool/chat", with "?" for an unreadable part.
std::string DisplayKey(const json& object) {
  const auto part = [&object](const char* field) {
    const json* value = FindPath(object, field);
    return value != nullptr && value->is_string() ? value->get<std::string>() : std::string("?");
  };
  return part("kind") + "/" + part("name");
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. fields and schemas
// ---------------------------------------------------------------------------------------------------------------------

// A field that schema 2 stores under another path or as a list instead of a single value.
struct changed_field {
  std::string old_path;
  std::string new_path;
  bool is_list = false;  // schema 1: one value; schema 2: a list
};

struct kind_schema {
  std::vector<changed_field> changed;
  std::vector<std::string> unchanged;
};

const std::map<std::string, kind_schema>& Kinds() {
  static const std::map<std::string, kind_schema> kinds = {
      {"pool",
       {{{"first_token_ms", "targets.first_token_ms", false},
         {"token_interval_ms", "targets.token_interval_ms", false}},
        {"type", "queue_limit", "path_prefix", "host", "idempotent_paths", "call_timeout_ms"}}},
      {"model", {{{"version_name", "versions", true}}, {"pool", "max_context_tokens"}}},
      {"adapter", {{{"model", "models", true}}, {}}},
      {"endpoint", {{{"role", "roles", true}}, {"pool", "address", "zone", "state"}}},
      {"account",
       {{{"tokens_per_second", "limits.tokens_per_second", false},
         {"burst_tokens", "limits.burst_tokens", false},
         {"connections", "limits.connections", false}},
        {"api_key_sha256", "priority", "weight"}}},
  };
  return kinds;
}

std::string KindNames() {
  std::string names;
  for (const auto& [name, fields] : Kinds()) {
    names += (names.empty() ? "" : ", ") + name;
  }
  return names;
}

const std::string& PathInSchema(const changed_field& field, int schema) {
  return schema == kOldestSchema ? field.old_path : field.new_path;
}

// True if the path is a known field of the kind in either schema.
bool IsKnownPath(const std::string& kind, const std::string& path) {
  static const std::set<std::string> common = {"kind", "name", "schema", "version"};
  if (common.count(path) != 0) {
    return true;
  }
  const auto found = Kinds().find(kind);
  if (found == Kinds().end()) {
    return false;
  }
  const kind_schema& fields = found->second;
  const auto is_changed = [&path](const changed_field& field) {
    return field.old_path == path || field.new_path == path;
  };
  return std::find(fields.unchanged.begin(), fields.unchanged.end(), path) != fields.unchanged.end() ||
         std::any_of(fields.changed.begin(), fields.changed.end(), is_changed);
}

// True for an object, such as "targets", that contains known fields.
bool HasKnownFields(const std::string& kind, const std::string& name) {
  const auto found = Kinds().find(kind);
  return found != Kinds().end() &&
         std::any_of(found->second.changed.begin(), found->second.changed.end(),
                     [&name](const changed_field& field) { return field.new_path.starts_with(name + "."); });
}

// Reads and validates the fields of one record, and adds a finding for each problem.
class field_reader {
 public:
  field_reader(const json& object, std::string key, finding_list& findings)
      : object_(object), key_(std::move(key)), findings_(findings), initial_findings_(findings.size()) {}

  bool HasFindings() const { return findings_.size() != initial_findings_; }

  void Add(const std::string& field, std::string message) {
    findings_.push_back({fmt::format("record {}: {}", key_, field), std::move(message)});
  }

  // Reads kind, name, schema and version. Returns false if the kind or the schema is invalid.
  bool ReadHeader(std::string& kind, std::string& name) {
    ReadString("kind", kind, true);
    ReadName("name", name, true);
    ReadInteger("version", version_, 0, std::numeric_limits<std::int64_t>::max());
    std::int64_t schema = 0;
    if (FindPath(object_, "schema") == nullptr) {
      Add("schema", fmt::format("required field is missing; must be {} or {}", kOldestSchema, kNewestSchema));
    } else {
      ReadInteger("schema", schema, kOldestSchema, kNewestSchema);
    }
    const bool has_kind = Kinds().count(kind) != 0;
    if (!kind.empty() && !has_kind) {
      Add("kind", fmt::format("'{}' is not one of {}", kind, KindNames()));
    }
    schema_ = static_cast<int>(schema);
    if (schema_ == 0 || !has_kind) {
      return false;
    }
    kind_ = kind;
    ReportMisplacedFields();
    return true;
  }

  void ReadString(const std::string& field, std::string& target, bool required = false) {
    const json* value = Find(field, required);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string() || (required && value->get_ref<const std::string&>().empty())) {
      Add(Path(field),
          fmt::format("{} is not a string{}", FormatValue(*value), required ? " with at least one character" : ""));
      return;
    }
    target = value->get<std::string>();
  }

  void ReadName(const std::string& field, std::string& target, bool required) {
    const std::size_t before = findings_.size();
    std::string text;
    ReadString(field, text, required);
    if (before != findings_.size() || (text.empty() && !required)) {
      return;
    }
    if (!IsName(text)) {
      Add(Path(field), fmt::format("'{}' is not a valid name: 1 to {} letters, digits, '-', '_' or '.'",
                                   text.substr(0, kMaxDisplayLength), kMaxNameLength));
      return;
    }
    target = text;
  }

  template <class number>
  void ReadInteger(const std::string& field, number& target, std::int64_t minimum, std::int64_t maximum) {
    const json* value = Find(field, false);
    if (value == nullptr) {
      return;
    }
    const bool fits =
        value->is_number_integer() &&
        (!value->is_number_unsigned() || value->get<std::uint64_t>() <= static_cast<std::uint64_t>(maximum)) &&
        value->get<std::int64_t>() >= minimum && value->get<std::int64_t>() <= maximum;
    if (!fits) {
      Add(Path(field), fmt::format("{} is not a whole number from {} to {}", FormatValue(*value), minimum, maximum));
      return;
    }
    target = static_cast<number>(value->get<std::int64_t>());
  }

  void ReadDuration(const std::string& field, milliseconds& target) {
    std::int64_t count = target.count();
    ReadInteger(field, count, 1, kMaxDurationMs);
    target = milliseconds(count);
  }

  void ReadNumber(const std::string& field, double& target, double minimum, double maximum) {
    const json* value = Find(field, false);
    if (value == nullptr) {
      return;
    }
    if (!value->is_number() || value->get<double>() < minimum || value->get<double>() > maximum) {
      Add(Path(field), fmt::format("{} is not a number from {} to {}", FormatValue(*value), minimum, maximum));
      return;
    }
    target = value->get<double>();
  }

  // Reads a list of strings. Schema 1 stores such a changed field as a single string.
  std::vector<std::string> ReadList(const std::string& field, bool required) {
    const json* value = Find(field, required);
    std::vector<std::string> items;
    if (value == nullptr) {
      return items;
    }
    const std::string path = Path(field);
    if (path == field && IsChangedList(field)) {
      if (value->is_string() && !value->get_ref<const std::string&>().empty()) {
        items.push_back(value->get<std::string>());
      } else {
        Add(path, fmt::format("{} is not a string with at least one character", FormatValue(*value)));
      }
      return items;
    }
    if (!value->is_array() || (required && value->empty())) {
      Add(path, fmt::format("{} is not an array of strings{}", FormatValue(*value),
                            required ? " with at least one entry" : ""));
      return items;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
      const json& item = value->at(i);
      if (!item.is_string() || item.get_ref<const std::string&>().empty()) {
        Add(fmt::format("{}[{}]", path, i),
            fmt::format("{} is not a string with at least one character", FormatValue(item)));
      } else if (std::find(items.begin(), items.end(), item.get<std::string>()) != items.end()) {
        Add(fmt::format("{}[{}]", path, i), fmt::format("{} occurs more than once in the list", FormatValue(item)));
      } else {
        items.push_back(item.get<std::string>());
      }
    }
    return items;
  }

  template <class choice>
  void ReadEnum(const std::string& field, choice& target, const std::map<std::string, choice>& allowed) {
    std::string text;
    const std::size_t before = findings_.size();
    ReadString(field, text);
    if (before == findings_.size() && Find(field, false) != nullptr) {
      target = ParseEnum(Path(field), text, target, allowed);
    }
  }

  template <class choice>
  choice ParseEnum(const std::string& place, const std::string& text, choice fallback,
                   const std::map<std::string, choice>& allowed) {
    const auto found = allowed.find(text);
    if (found != allowed.end()) {
      return found->second;
    }
    std::string names;
    for (const auto& [name, value] : allowed) {
      names += (names.empty() ? "" : ", ") + name;
    }
    Add(place, fmt::format("'{}' is not one of {}", text.substr(0, kMaxDisplayLength), names));
    return fallback;
  }

  // Maps a field's schema 1 name to its path in the schema of this record.
  std::string Path(const std::string& field) const {
    const changed_field* changed = FindChanged(field);
    return changed == nullptr ? field : PathInSchema(*changed, schema_);
  }

 private:
  const changed_field* FindChanged(const std::string& field) const {
    const auto kind = Kinds().find(kind_);
    if (kind == Kinds().end()) {
      return nullptr;
    }
    for (const changed_field& changed : kind->second.changed) {
      if (changed.old_path == field) {
        return &changed;
      }
    }
    return nullptr;
  }

  bool IsChangedList(const std::string& field) const {
    const changed_field* changed = FindChanged(field);
    return changed != nullptr && changed->is_list;
  }

  const json* Find(const std::string& field, bool required) {
    const std::string path = Path(field);
    const json* value = FindPath(object_, path);
    if (value == nullptr && required) {
      Add(path, "required field is missing");
    }
    return value;
  }

  // Reports fields that belong to the other schema, which would otherwise be ignored silently.
  void ReportMisplacedFields() {
    const int other = schema_ == kOldestSchema ? kNewestSchema : kOldestSchema;
    for (const changed_field& field : Kinds().at(kind_).changed) {
      const std::string& misplaced = PathInSchema(field, other);
      if (FindPath(object_, misplaced) != nullptr) {
        Add(misplaced, fmt::format("belongs to schema {}; in schema {} this field is '{}'", other, schema_,
                                   PathInSchema(field, schema_)));
      }
    }
    for (const changed_field& field : Kinds().at(kind_).changed) {
      const auto parts = SplitPath(field.new_path);
      const json* parent = parts.size() == 2 ? FindPath(object_, parts[0]) : nullptr;
      if (parent != nullptr && !parent->is_object()) {
        Add(parts[0], fmt::format("{} is not an object", FormatValue(*parent)));
        break;
      }
    }
  }

  const json& object_;
  std::string key_;
  finding_list& findings_;
  std::size_t initial_findings_;
  std::string kind_;
  int schema_ = kOldestSchema;
  std::int64_t version_ = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// 3. parsing a record
// ---------------------------------------------------------------------------------------------------------------------

const std::map<std::string, endpoint_role>& RoleNames() {
  static const std::map<std::string, endpoint_role> names = {
      {"prefill", endpoint_role::kPrefill}, {"decode", endpoint_role::kDecode}, {"service", endpoint_role::kService}};
  return names;
}

pool_record ReadPool(field_reader& reader, std::string name) {
  static const std::map<std::string, pool_type> types = {{"model", pool_type::kModel},
                                                         {"service", pool_type::kService}};
  pool_record pool;
  pool.name = std::move(name);
  reader.ReadEnum("type", pool.type, types);
  reader.ReadDuration("first_token_ms", pool.first_token_target);
  reader.ReadDuration("token_interval_ms", pool.token_interval_target);
  reader.ReadInteger("queue_limit", pool.queue_limit, 1, 1'000'000);
  reader.ReadString("path_prefix", pool.path_prefix);
  reader.ReadString("host", pool.host);
  pool.idempotent_paths = reader.ReadList("idempotent_paths", false);
  reader.ReadDuration("call_timeout_ms", pool.call_timeout);
  if (!pool.path_prefix.empty() && pool.path_prefix.front() != '/') {
    reader.Add("path_prefix", fmt::format("'{}' does not begin with '/'", pool.path_prefix));
  }
  if (pool.type == pool_type::kService && pool.path_prefix.empty() && pool.host.empty()) {
    reader.Add("path_prefix", "a service pool needs path_prefix or host to be reachable by callers");
  }
  return pool;
}

model_record ReadModel(field_reader& reader, std::string name) {
  model_record model;
  model.name = std::move(name);
  reader.ReadName("pool", model.pool, true);
  model.versions = reader.ReadList("version_name", true);
  reader.ReadInteger("max_context_tokens", model.max_context_tokens, 1, 16'777'216);
  return model;
}

adapter_record ReadAdapter(field_reader& reader, std::string name) {
  adapter_record adapter;
  adapter.name = std::move(name);
  adapter.models = reader.ReadList("model", true);
  return adapter;
}

// Approximate check for the forms "10.0.0.1:7001" and "[::1]:7001". The address is fully validated when it is used.
bool IsAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size() || text.size() - colon > 6) {
    return false;
  }
  const std::string_view port = std::string_view(text).substr(colon + 1);
  const bool digits = std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; });
  const std::string_view host = std::string_view(text).substr(0, colon);
  const bool numeric = host.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string_view::npos;
  if (!digits || !numeric) {
    return false;
  }
  const int number = std::stoi(std::string(port));
  return number >= 1 && number <= 65535;
}

endpoint_record ReadEndpoint(field_reader& reader, std::string name) {
  static const std::map<std::string, endpoint_state> states = {{"active", endpoint_state::kActive},
                                                               {"draining", endpoint_state::kDraining}};
  endpoint_record endpoint;
  endpoint.name.value = std::move(name);
  reader.ReadName("pool", endpoint.pool, true);
  for (const std::string& role : reader.ReadList("role", true)) {
    endpoint.roles.push_back(reader.ParseEnum(reader.Path("role"), role, endpoint_role::kPrefill, RoleNames()));
  }
  reader.ReadString("address", endpoint.address, true);
  reader.ReadName("zone", endpoint.zone.value, true);
  reader.ReadEnum("state", endpoint.state, states);
  if (!endpoint.address.empty() && !IsAddress(endpoint.address)) {
    reader.Add("address", fmt::format("'{}' is not IP:PORT", endpoint.address.substr(0, kMaxDisplayLength)));
  }
  return endpoint;
}

account_record ReadAccount(field_reader& reader, std::string name) {
  constexpr std::int64_t kMaxTokens = 1'000'000'000'000;
  account_record account;
  account.name.value = std::move(name);
  reader.ReadString("api_key_sha256", account.api_key_sha256, true);
  reader.ReadInteger("tokens_per_second", account.tokens_per_second, 0, kMaxTokens);
  reader.ReadInteger("burst_tokens", account.burst_tokens, 0, kMaxTokens);
  reader.ReadInteger("connections", account.connections, 0, 1'000'000);
  reader.ReadInteger("priority", account.priority, -100, 100);
  reader.ReadNumber("weight", account.weight, 0.001, 1000.0);
  const std::string& hash = account.api_key_sha256;
  if (!hash.empty() && (hash.size() != 64 || hash.find_first_not_of("0123456789abcdef") != std::string::npos)) {
    // The value is left out of the message because it may be the API key itself.
    reader.Add("api_key_sha256", "not 64 lower-case hexadecimal digits");
  }
  return account;
}

result<record> ReadRecord(const json& object, finding_list& findings) {
  field_reader reader(object, DisplayKey(object), findings);
  std::string kind;
  std::string name;
  std::optional<record> value;
  if (reader.ReadHeader(kind, name)) {
    if (kind == "pool") {
      value = ReadPool(reader, name);
    } else if (kind == "model") {
      value = ReadModel(reader, name);
    } else if (kind == "adapter") {
      value = ReadAdapter(reader, name);
    } else if (kind == "endpoint") {
      value = ReadEndpoint(reader, name);
    } else {
      value = ReadAccount(reader, name);
    }
  }
  if (reader.HasFindings() || !value) {
    return Invalid("the record is invalid");
  }
  return std::move(*value);
}

// ---------------------------------------------------------------------------------------------------------------------
// 4. references between records
// ---------------------------------------------------------------------------------------------------------------------

class reference_validator {
 public:
  reference_validator(configuration& values, finding_list& findings) : values_(values), findings_(findings) {}

  // Removes invalid records, and records that refer to a removed one, from the configuration. Returns their keys.
  std::set<std::string> RemoveInvalid() {
    CheckPools();
    CheckModels();
    CheckAdapters();
    CheckEndpoints();
    CheckAccounts();
    return removed_;
  }

 private:
  void Add(const std::string& key, const std::string& field, std::string message) {
    findings_.push_back({fmt::format("record {}: {}", key, field), std::move(message)});
    removed_.insert(key);
  }

  template <class records>
  void RemoveMarked(records& values, const std::string& kind) {
    std::erase_if(values, [&](const auto& item) {
      if constexpr (std::is_same_v<typename records::key_type, std::string>) {
        return removed_.count(kind + "/" + item.first) != 0;
      } else {
        return removed_.count(kind + "/" + item.first.value) != 0;
      }
    });
  }

  void CheckPools() {
    std::map<std::pair<std::string, std::string>, std::string> routes;
    for (const auto& [name, pool] : values_.pools) {
      if (pool.type != pool_type::kService) {
        continue;
      }
      const auto [found, inserted] = routes.try_emplace({pool.host, pool.path_prefix}, name);
      if (!inserted) {
        Add("pool/" + name, "path_prefix", fmt::format("pool '{}' has the same host and path prefix", found->second));
      }
    }
    RemoveMarked(values_.pools, "pool");
  }

  const pool_record* FindPool(const std::string& key, const std::string& pool) {
    const auto found = values_.pools.find(pool);
    if (found != values_.pools.end()) {
      return &found->second;
    }
    Add(key, "pool", fmt::format("pool '{}' does not exist or is invalid", pool));
    return nullptr;
  }

  void CheckModels() {
    for (const auto& [name, model] : values_.models) {
      const std::string key = "model/" + name;
      const pool_record* pool = FindPool(key, model.pool);
      if (pool != nullptr && pool->type != pool_type::kModel) {
        Add(key, "pool", fmt::format("pool '{}' does not have type model", model.pool));
      }
    }
    RemoveMarked(values_.models, "model");
  }

  void CheckAdapters() {
    for (const auto& [name, adapter] : values_.adapters) {
      for (const std::string& model : adapter.models) {
        if (values_.models.count(model) == 0) {
          Add("adapter/" + name, "models", fmt::format("model '{}' does not exist or is invalid", model));
        }
      }
    }
    RemoveMarked(values_.adapters, "adapter");
  }

  void CheckEndpoints() {
    std::map<std::string, std::string> addresses;
    for (const auto& [name, endpoint] : values_.endpoints) {
      const std::string key = "endpoint/" + name.value;
      const pool_record* pool = FindPool(key, endpoint.pool);
      for (const endpoint_role role : endpoint.roles) {
        if (pool != nullptr && (role == endpoint_role::kService) != (pool->type == pool_type::kService)) {
          Add(key, "roles", fmt::format("a role does not match the type of pool '{}'", endpoint.pool));
          break;
        }
      }
      const auto [found, inserted] = addresses.try_emplace(endpoint.address, name.value);
      if (!inserted) {
        Add(key, "address", fmt::format("endpoint '{}' has the same address", found->second));
      }
    }
    RemoveMarked(values_.endpoints, "endpoint");
  }

  void CheckAccounts() {
    std::map<std::string, std::string> keys;
    for (const auto& [name, account] : values_.accounts) {
      const auto [found, inserted] = keys.try_emplace(account.api_key_sha256, name.value);
      if (!inserted) {
        Add("account/" + name.value, "api_key_sha256", fmt::format("account '{}' has the same API key", found->second));
      }
    }
    RemoveMarked(values_.accounts, "account");
  }

  configuration& values_;
  finding_list& findings_;
  std::set<std::string> removed_;
};

void InsertRecord(configuration& target, record value) {
  std::visit(
      [&target](auto& item) {
        using type = std::decay_t<decltype(item)>;
        const auto name = item.name;
        if constexpr (std::is_same_v<type, pool_record>) {
          target.pools.emplace(name, std::move(item));
        } else if constexpr (std::is_same_v<type, model_record>) {
          target.models.emplace(name, std::move(item));
        } else if constexpr (std::is_same_v<type, adapter_record>) {
          target.adapters.emplace(name, std::move(item));
        } else if constexpr (std::is_same_v<type, endpoint_record>) {
          target.endpoints.emplace(name, std::move(item));
        } else {
          target.accounts.emplace(name, std::move(item));
        }
      },
      value);
}

// ---------------------------------------------------------------------------------------------------------------------
// 5. conversion, replacement and comparison
// ---------------------------------------------------------------------------------------------------------------------

result<std::string> ReadKey(const json& object) {
  const json* kind = FindPath(object, "kind");
  const json* name = FindPath(object, "name");
  if (kind == nullptr || !kind->is_string() || Kinds().count(kind->get<std::string>()) == 0) {
    return Invalid(fmt::format("kind is not one of {}", KindNames()));
  }
  if (name == nullptr || !name->is_string() || !IsName(name->get_ref<const std::string&>())) {
    return Invalid("name is missing or invalid");
  }
  return kind->get<std::string>() + "/" + name->get<std::string>();
}

result<int> ReadSchema(const json& object) {
  const json* schema = FindPath(object, "schema");
  if (schema == nullptr || !schema->is_number_integer() || schema->get<std::int64_t>() < kOldestSchema ||
      schema->get<std::int64_t>() > kNewestSchema) {
    return Invalid(fmt::format("schema is not {} or {}", kOldestSchema, kNewestSchema));
  }
  return schema->get<int>();
}

result<void> ConvertField(json& object, const changed_field& field, int from, int to) {
  const json* found = FindPath(object, PathInSchema(field, from));
  if (found == nullptr) {
    return outcome::success();
  }
  json value = *found;
  if (field.is_list && to == kNewestSchema) {
    value = json::array({value});
  } else if (field.is_list) {
    if (!value.is_array() || value.size() != 1) {
      return Invalid(fmt::format("'{}' has {} values; schema {} allows only one", field.new_path, value.size(), to));
    }
    value = json(value[0]);
  }
  RemovePath(object, PathInSchema(field, from));
  SetPath(object, PathInSchema(field, to), std::move(value));
  return outcome::success();
}

// Copies the unknown fields of the stored record that are absent from the replacement.
void KeepUnknownFields(const json& stored, const std::string& kind, json& replacement) {
  for (const auto& [name, value] : stored.items()) {
    if (HasKnownFields(kind, name) && value.is_object()) {
      for (const auto& [inner, inner_value] : value.items()) {
        const std::string path = fmt::format("{}.{}", name, inner);
        const json* parent = FindPath(replacement, name);
        const bool can_insert = parent == nullptr || parent->is_object();
        if (can_insert && !IsKnownPath(kind, path) && FindPath(replacement, path) == nullptr) {
          replacement[name][inner] = inner_value;
        }
      }
    } else if (!IsKnownPath(kind, name) && !replacement.contains(name)) {
      replacement[name] = value;
    }
  }
}

void RemoveUnknownNulls(const std::string& kind, json& object) {
  std::vector<std::string> nulls;
  for (const auto& [name, value] : object.items()) {
    if (value.is_null() && !IsKnownPath(kind, name)) {
      nulls.push_back(name);
    }
  }
  for (const std::string& name : nulls) {
    object.erase(name);
  }
}

// Flattens an object into a map from dotted field path to JSON text.
void FlattenFields(const json& value, const std::string& path, std::map<std::string, std::string>& fields) {
  if (!value.is_object() || (value.empty() && !path.empty())) {
    fields[path] = value.dump();
    return;
  }
  for (const auto& [name, inner] : value.items()) {
    FlattenFields(inner, path.empty() ? name : path + "." + name, fields);
  }
}

result<std::map<std::string, std::string>> ReadFields(std::string_view text) {
  std::map<std::string, std::string> fields;
  if (text.empty()) {
    return fields;
  }
  auto object = ParseObject(text);
  if (!object) {
    return object.error();
  }
  FlattenFields(object.value(), {}, fields);
  return fields;
}

}  // namespace

result<record> ParseRecord(std::string_view text, finding_list& findings) {
  auto object = ParseObject(text);
  if (!object) {
    findings.push_back({"record ?/?", object.error().message});
    return object.error();
  }
  return ReadRecord(object.value(), findings);
}

result<std::string> RecordKey(std::string_view text) {
  auto object = ParseObject(text);
  if (!object) {
    return object.error();
  }
  return ReadKey(object.value());
}

result<std::uint64_t> RecordVersion(std::string_view text) {
  auto object = ParseObject(text);
  if (!object) {
    return object.error();
  }
  const json* version = FindPath(object.value(), "version");
  if (version == nullptr) {
    return std::uint64_t{0};
  }
  if (!version->is_number_unsigned()) {
    return Invalid(fmt::format("version {} is not a non-negative integer", FormatValue(*version)));
  }
  return version->get<std::uint64_t>();
}

result<std::vector<std::string>> SplitRecords(std::string_view text) {
  auto value = ParseText(text);
  if (!value) {
    return value.error();
  }
  std::vector<std::string> texts;
  if (!value.value().is_array()) {
    texts.push_back(value.value().dump());
    return texts;
  }
  for (const json& item : value.value()) {
    texts.push_back(item.dump());
  }
  return texts;
}

configuration BuildConfiguration(revision_number revision, std::vector<std::string> texts, finding_list& findings) {
  configuration built;
  built.revision = revision;
  std::map<std::string, std::string> accepted;
  for (std::string& text : texts) {
    auto value = ParseRecord(text, findings);
    if (!value) {
      continue;
    }
    const std::string key = RecordKey(text).value();
    if (accepted.count(key) != 0) {
      findings.push_back({"record " + key, "another record has the same kind and name"});
      continue;
    }
    accepted.emplace(key, std::move(text));
    InsertRecord(built, std::move(value.value()));
  }
  for (const std::string& key : reference_validator(built, findings).RemoveInvalid()) {
    accepted.erase(key);
  }
  for (auto& [key, text] : accepted) {
    built.texts.push_back(std::move(text));
  }
  return built;
}

result<std::string> ConvertRecord(std::string_view text, int schema) {
  auto object = ParseObject(text);
  if (!object) {
    return object.error();
  }
  json value = std::move(object.value());
  auto key = ReadKey(value);
  if (!key) {
    return key.error();
  }
  auto current = ReadSchema(value);
  if (!current) {
    return current.error();
  }
  if (schema < kOldestSchema || schema > kNewestSchema) {
    return Invalid(fmt::format("schema {} is not {} or {}", schema, kOldestSchema, kNewestSchema));
  }
  if (current.value() != schema) {
    for (const changed_field& field : Kinds().at(value["kind"].get<std::string>()).changed) {
      auto converted = ConvertField(value, field, current.value(), schema);
      if (!converted) {
        return converted.error();
      }
    }
    value["schema"] = schema;
  }
  return value.dump();
}

result<std::string> ReplaceRecord(std::string_view stored, std::string_view replacement, std::uint64_t version) {
  auto object = ParseObject(replacement);
  if (!object) {
    return object.error();
  }
  json value = std::move(object.value());
  auto key = ReadKey(value);
  if (!key) {
    return key.error();
  }
  const auto kind = value["kind"].get<std::string>();
  if (!stored.empty()) {
    auto old = ParseObject(stored);
    if (!old) {
      return old.error();
    }
    KeepUnknownFields(old.value(), kind, value);
  }
  RemoveUnknownNulls(kind, value);
  value["version"] = version;
  return value.dump();
}

result<std::string> SetRecordField(std::string_view text, const std::string& field, const std::string& value) {
  auto object = ParseObject(text);
  if (!object) {
    return object.error();
  }
  json changed = std::move(object.value());
  changed[field] = value;
  return changed.dump();
}

result<std::vector<record_difference>> CompareRecords(std::string_view left, std::string_view right) {
  auto left_fields = ReadFields(left);
  if (!left_fields) {
    return left_fields.error();
  }
  auto right_fields = ReadFields(right);
  if (!right_fields) {
    return right_fields.error();
  }
  std::vector<record_difference> differences;
  for (const auto& [field, value] : left_fields.value()) {
    const auto other = right_fields.value().find(field);
    if (other == right_fields.value().end()) {
      differences.push_back({field, value, ""});
    } else if (other->second != value) {
      differences.push_back({field, value, other->second});
    }
  }
  for (const auto& [field, value] : right_fields.value()) {
    if (left_fields.value().count(field) == 0) {
      differences.push_back({field, "", value});
    }
  }
  std::sort(differences.begin(), differences.end(),
            [](const record_difference& a, const record_difference& b) { return a.field < b.field; });
  return differences;
}

}  // namespace persimmon
