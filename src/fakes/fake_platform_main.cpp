// Entry point of fake-platform, an in-memory fake of the table service and the VM list.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <fstream>
#include <sstream>

#include "core/program.h"
#include "fakes/fake_platform.h"
#include "persimmon/records.h"

DEFINE_string(listen, "127.0.0.1:7900", "IP:PORT to listen on");
DEFINE_uint32(entry_expiry_ms, 0, "remove endpoint entries that are not written again for this long; 0: never");
DEFINE_string(preload, "", "comma-separated files with records, stored as revision 1 at startup");

namespace {

using persimmon::error;
using persimmon::error_code;
using persimmon::result;

// Merges the records of all files into one JSON array.
result<std::string> ReadFiles(const std::string& paths) {
  std::string joined;
  std::stringstream list(paths);
  for (std::string path; std::getline(list, path, ',');) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
      return error{error_code::kNotFound, "cannot read " + path};
    }
    auto records = persimmon::SplitRecords(text.str());
    if (!records) {
      return error{error_code::kInvalid, path + ": " + records.error().message};
    }
    for (const std::string& item : records.value()) {
      joined += (joined.empty() ? "" : ",") + item;
    }
  }
  return "[" + joined + "]";
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetVersionString(persimmon::kProgramVersion);
  gflags::SetUsageMessage("In-memory fake of the platform's table service and VM list.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const persimmon::logger log("fakes.platform");
  const auto address = persimmon::ParseHostPort(FLAGS_listen);
  if (!address) {
    log.Error("--listen: {}.", address.error().message);
    return persimmon::kExitSettings;
  }
  persimmon::kernel services;
  persimmon::fakes::fake_platform platform(services.Context(), address.value());
  if (!FLAGS_preload.empty()) {
    const auto text = ReadFiles(FLAGS_preload);
    const auto loaded = text ? platform.Preload(text.value()) : result<void>(text.error());
    if (!loaded) {
      log.Error("--preload: {}.", loaded.error().message);
      return persimmon::kExitSettings;
    }
  }
  platform.SetEntryExpiry(persimmon::milliseconds(FLAGS_entry_expiry_ms));
  const auto started = platform.Start();
  if (!started) {
    log.Error("Cannot start: {}.", started.error().message);
    return persimmon::kExitFailure;
  }
  log.Info("Listening on {}.", FLAGS_listen);
  return persimmon::detail::RunKernel(services, [&platform](const std::function<void()>& finished) {
    platform.Stop();
    finished();
  });
}
