#include "core/settings.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>

namespace persimmon {
namespace {

// State of one parser run. inih reads lines through ReadLine, which counts them, because Debian's build of inih passes
// no line number to its handler.
struct parse_state {
  std::istringstream input;
  settings_file* file = nullptr;
  int line = 0;
};

std::string FormatLocation(const std::string& path, int line, const std::string& section, const std::string& key) {
  if (line == 0) {
    return fmt::format("{}: [{}] {}", path, section, key);
  }
  return fmt::format("{}:{}: [{}] {}", path, line, section, key);
}

char* ReadLine(char* buffer, int size, void* stream) {
  auto& state = *static_cast<parse_state*>(stream);
  std::string line;
  if (!std::getline(state.input, line)) {
    return nullptr;
  }
  ++state.line;
  if (line.size() + 2 > static_cast<std::size_t>(size)) {
    state.file->findings.push_back(
        {fmt::format("{}:{}", state.file->path, state.line), fmt::format("line is longer than {} bytes", size - 2)});
    line.clear();
  }
  line.push_back('\n');
  std::memcpy(buffer, line.c_str(), line.size() + 1);
  return buffer;
}

int AddEntry(void* user, const char* section, const char* key, const char* value) {
  auto& state = *static_cast<parse_state*>(user);
  for (const settings_entry& entry : state.file->entries) {
    if (entry.section == section && entry.key == key) {
      state.file->findings.push_back({FormatLocation(state.file->path, state.line, section, key),
                                      fmt::format("key is already set on line {}", entry.line)});
      return 1;
    }
  }
  state.file->entries.push_back({section, key, value, state.line});
  return 1;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream input(text);
  std::string item;
  while (std::getline(input, item, ',')) {
    const auto first = item.find_first_not_of(" \t");
    if (first == std::string::npos) {
      continue;
    }
    items.push_back(item.substr(first, item.find_last_not_of(" \t") - first + 1));
  }
  return items;
}

}  // namespace

settings_file ReadSettingsFile(const std::string& path) {
  std::ifstream input(path);
  if (!input) {
    settings_file file;
    file.path = path;
    file.findings.push_back({path, "file cannot be read"});
    return file;
  }
  std::ostringstream text;
  text << input.rdbuf();
  return ParseSettings(path, text.str());
}

settings_file ParseSettings(const std::string& path, const std::string& text) {
  settings_file file;
  file.path = path;
  parse_state state{std::istringstream(text), &file, 0};
  // inih reports only the first syntax error, so each line is parsed separately, prefixed with the current section.
  std::string section;
  std::istringstream lines(text);
  std::string line;
  int number = 0;
  while (std::getline(lines, line)) {
    ++number;
    parse_state line_state{std::istringstream("[" + section + "]\n" + line), &file, number - 2};
    const auto first = line.find_first_not_of(" \t");
    if (first != std::string::npos && line[first] == '[') {
      const auto close = line.find(']', first);
      if (close != std::string::npos) {
        section = line.substr(first + 1, close - first - 1);
        continue;
      }
    }
    if (ini_parse_stream(ReadLine, &line_state, AddEntry, &line_state) > 0) {
      file.findings.push_back({fmt::format("{}:{}", path, number), "line is neither a [section] nor a key = value"});
    }
  }
  return file;
}

result<host_port> ParseHostPort(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return error{error_code::kInvalid, fmt::format("'{}' is not IP:PORT", text)};
  }
  boost::system::error_code failure;
  const std::string host = text.substr(0, colon);
  boost::asio::ip::make_address(host, failure);
  if (failure) {
    return error{error_code::kInvalid, fmt::format("'{}' is not an IP address", host)};
  }
  unsigned port = 0;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0 || port > 65535) {
    return error{error_code::kInvalid, fmt::format("'{}' is not a port from 1 to 65535", text.substr(colon + 1))};
  }
  return host_port{host, static_cast<std::uint16_t>(port)};
}

settings_binder::settings_binder(const settings_file& file) : file_(file) {
  for (const settings_entry& entry : file.entries) {
    entries_[{entry.section, entry.key}] = &entry;
  }
}

const settings_entry* settings_binder::Lookup(const std::string& section, const std::string& key,
                                              presence key_presence) {
  bound_.insert({section, key});
  const auto found = entries_.find({section, key});
  if (found == entries_.end()) {
    if (key_presence == presence::kRequired) {
      AddFindingAt(0, section, key, "required key is missing");
    }
    return nullptr;
  }
  return found->second;
}

void settings_binder::AddFindingAt(int line, const std::string& section, const std::string& key,
                                   const std::string& message) {
  findings_.push_back({line, finding{FormatLocation(file_.path, line, section, key), message}});
}

void settings_binder::AddFinding(const std::string& section, const std::string& key, const std::string& message) {
  const auto found = entries_.find({section, key});
  AddFindingAt(found == entries_.end() ? 0 : found->second->line, section, key, message);
}

void settings_binder::Text(const std::string& section, const std::string& key, std::string& target,
                           presence key_presence) {
  const settings_entry* entry = Lookup(section, key, key_presence);
  if (entry == nullptr) {
    return;
  }
  if (entry->value.empty() && key_presence == presence::kRequired) {
    AddFindingAt(entry->line, section, key, "value is empty");
    return;
  }
  target = entry->value;
}

void settings_binder::Number(const std::string& section, const std::string& key, std::int64_t& target,
                             std::int64_t minimum, std::int64_t maximum, presence key_presence) {
  const settings_entry* entry = Lookup(section, key, key_presence);
  if (entry == nullptr) {
    return;
  }
  std::int64_t number = 0;
  const char* end = entry->value.data() + entry->value.size();
  const auto parsed = std::from_chars(entry->value.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < minimum || number > maximum) {
    AddFindingAt(entry->line, section, key,
                 fmt::format("'{}' is not a whole number from {} to {}", entry->value, minimum, maximum));
    return;
  }
  target = number;
}

void settings_binder::Real(const std::string& section, const std::string& key, double& target, double minimum,
                           double maximum) {
  const settings_entry* entry = Lookup(section, key, presence::kOptional);
  if (entry == nullptr) {
    return;
  }
  double number = 0;
  const char* end = entry->value.data() + entry->value.size();
  const auto parsed = std::from_chars(entry->value.data(), end, number);
  const bool in_range = number >= minimum && number <= maximum;
  if (parsed.ec != std::errc() || parsed.ptr != end || !in_range) {
    AddFindingAt(entry->line, section, key,
                 fmt::format("'{}' is not a number from {} to {}", entry->value, minimum, maximum));
    return;
  }
  target = number;
}

void settings_binder::Flag(const std::string& section, const std::string& key, bool& target) {
  const settings_entry* entry = Lookup(section, key, presence::kOptional);
  if (entry == nullptr) {
    return;
  }
  if (entry->value != "true" && entry->value != "false") {
    AddFindingAt(entry->line, section, key, fmt::format("'{}' is neither true nor false", entry->value));
    return;
  }
  target = entry->value == "true";
}

void settings_binder::Duration(const std::string& section, const std::string& key, milliseconds& target,
                               milliseconds minimum, milliseconds maximum) {
  std::int64_t number = target.count();
  Number(section, key, number, minimum.count(), maximum.count());
  target = milliseconds(number);
}

void settings_binder::Address(const std::string& section, const std::string& key, host_port& target,
                              presence key_presence) {
  std::vector<host_port> list;
  AddressList(section, key, list, key_presence);
  if (list.size() == 1) {
    target = list.front();
  } else if (list.size() > 1) {
    AddFinding(section, key, "only one address is allowed");
  }
}

void settings_binder::AddressList(const std::string& section, const std::string& key, std::vector<host_port>& target,
                                  presence key_presence) {
  const settings_entry* entry = Lookup(section, key, key_presence);
  if (entry == nullptr) {
    return;
  }
  for (const std::string& item : SplitList(entry->value)) {
    auto address = ParseHostPort(item);
    if (address) {
      target.push_back(address.value());
    } else {
      AddFindingAt(entry->line, section, key, address.error().message);
    }
  }
}

void settings_binder::TextList(const std::string& section, const std::string& key, std::vector<std::string>& target,
                               presence key_presence) {
  const settings_entry* entry = Lookup(section, key, key_presence);
  if (entry != nullptr) {
    target = SplitList(entry->value);
  }
}

void settings_binder::Choice(const std::string& section, const std::string& key, std::string& target,
                             const std::vector<std::string>& allowed) {
  const settings_entry* entry = Lookup(section, key, presence::kOptional);
  if (entry == nullptr) {
    return;
  }
  if (std::find(allowed.begin(), allowed.end(), entry->value) == allowed.end()) {
    AddFindingAt(entry->line, section, key,
                 fmt::format("'{}' is not one of {}", entry->value, fmt::join(allowed, ", ")));
    return;
  }
  target = entry->value;
}

finding_list settings_binder::Finish() {
  for (const settings_entry& entry : file_.entries) {
    if (!bound_.contains({entry.section, entry.key})) {
      AddFindingAt(entry.line, entry.section, entry.key, "unknown key");
    }
  }
  std::stable_sort(findings_.begin(), findings_.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  finding_list all = file_.findings;
  for (const auto& [line, item] : findings_) {
    all.push_back(item);
  }
  return all;
}

}  // namespace persimmon
