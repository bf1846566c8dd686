// INI settings: a parser that records line numbers, typed access with range checks, all findings in one report.
//
// A program declares its settings as a struct and binds each field once:
//
//   settings_binder bind(file);
//   bind.Text("router", "name", settings.name, presence::kRequired);
//   bind.Number("router", "port", settings.port, 1, 65535);
//   finding_list findings = bind.Finish();   // also reports keys that were not bound
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "persimmon/error.h"
#include "persimmon/types.h"

namespace persimmon {

struct settings_entry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;  // 1-based

  bool operator==(const settings_entry&) const = default;
};

struct settings_file {
  std::string path;
  std::vector<settings_entry> entries;
  finding_list findings;  // syntax errors and duplicate keys

  bool operator==(const settings_file&) const = default;
};

// Reads and parses a file. An unreadable file yields a single finding.
settings_file ReadSettingsFile(const std::string& path);

// Parses settings from a string; the path is used only in the locations of findings.
settings_file ParseSettings(const std::string& path, const std::string& text);

enum class presence { kRequired, kOptional };

struct host_port {
  std::string host;        // IP address
  std::uint16_t port = 0;  // 0: none

  auto operator<=>(const host_port&) const = default;
  std::string Text() const { return host + ":" + std::to_string(port); }

  template <class archive>
  void serialize(archive& ar) {
    ar(host, port);
  }
};

// Parses "127.0.0.1:8080". Accepts IP addresses only, no host names. Errors: kInvalid.
result<host_port> ParseHostPort(const std::string& text);

class settings_binder {
 public:
  explicit settings_binder(const settings_file& file);

  // A missing optional key leaves the target unchanged.
  void Text(const std::string& section, const std::string& key, std::string& target,
            presence key_presence = presence::kOptional);
  void Number(const std::string& section, const std::string& key, std::int64_t& target, std::int64_t minimum,
              std::int64_t maximum, presence key_presence = presence::kOptional);
  void Real(const std::string& section, const std::string& key, double& target, double minimum, double maximum);
  void Flag(const std::string& section, const std::string& key, bool& target);  // "true" or "false"
  void Duration(const std::string& section, const std::string& key, milliseconds& target, milliseconds minimum,
                milliseconds maximum);  // in milliseconds
  void Address(const std::string& section, const std::string& key, host_port& target,
               presence key_presence = presence::kOptional);
  void AddressList(const std::string& section, const std::string& key, std::vector<host_port>& target,
                   presence key_presence = presence::kOptional);  // separated by commas
  void TextList(const std::string& section, const std::string& key, std::vector<std::string>& target,
                presence key_presence = presence::kOptional);  // separated by commas
  void Choice(const std::string& section, const std::string& key, std::string& target,
              const std::vector<std::string>& allowed);

  // Adds a finding for a key, for checks that involve several keys.
  void AddFinding(const std::string& section, const std::string& key, const std::string& message);

  // Returns all findings: those of the parser, then the others by line. A key that was not bound is a finding.
  finding_list Finish();

 private:
  const settings_entry* Lookup(const std::string& section, const std::string& key, presence key_presence);
  void AddFindingAt(int line, const std::string& section, const std::string& key, const std::string& message);

  const settings_file& file_;
  std::map<std::pair<std::string, std::string>, const settings_entry*> entries_;
  std::set<std::pair<std::string, std::string>> bound_;
  std::vector<std::pair<int, finding>> findings_;
};

}  // namespace persimmon
