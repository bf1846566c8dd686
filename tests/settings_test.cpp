// link: persimmon_core
// Settings: all errors of a file are reported at once, each with its line number.
#include "core/settings.h"

#include <gtest/gtest.h>

namespace persimmon {
namespace {

struct sample_settings {
  std::string name;
  std::int64_t port = 80;
  bool verbose = false;
  host_port listen;
};

finding_list Bind(const std::string& text, sample_settings& settings) {
  const settings_file file = ParseSettings("sample.ini", text);
  settings_binder bind(file);
  bind.Text("router", "name", settings.name, presence::kRequired);
  bind.Number("router", "port", settings.port, 1, 65535);
  bind.Flag("router", "verbose", settings.verbose);
  bind.Address("router", "listen", settings.listen);
  return bind.Finish();
}

class settings_test : public testing::Test {
 protected:
  sample_settings settings_;
};

TEST_F(settings_test, Bind_WhenFileIsValid_SetsEachField) {
  const auto findings =
      Bind("; comment\n[router]\nname = r1\nport = 8080\nverbose = true\nlisten = 127.0.0.1:90\n", settings_);
  EXPECT_EQ(FormatFindings(findings), "");
  EXPECT_EQ(settings_.name, "r1");
  EXPECT_EQ(settings_.port, 8080);
  EXPECT_TRUE(settings_.verbose);
  EXPECT_EQ(settings_.listen, (host_port{"127.0.0.1", 90}));
}

TEST_F(settings_test, Bind_WhenFileHasFiveMistakes_ReportsEachWithItsLine) {
  const auto findings = Bind(
      "[router]\nport = 70000\nverbose = maybe\nlisten = localhost:80\nnot a setting\n[other]\nkey = 1\nname = x\n",
      settings_);
  EXPECT_EQ(FormatFindings(findings),
            "sample.ini:5: line is neither a [section] nor a key = value\n"
            "sample.ini: [router] name: required key is missing\n"
            "sample.ini:2: [router] port: '70000' is not a whole number from 1 to 65535\n"
            "sample.ini:3: [router] verbose: 'maybe' is neither true nor false\n"
            "sample.ini:4: [router] listen: 'localhost' is not an IP address\n"
            "sample.ini:7: [other] key: unknown key\n"
            "sample.ini:8: [other] name: unknown key\n");
}

TEST_F(settings_test, Bind_WhenKeyIsRepeated_ReportsBothLines) {
  const auto findings = Bind("[router]\nname = a\nname = b\n", settings_);
  EXPECT_EQ(FormatFindings(findings), "sample.ini:3: [router] name: key is already set on line 2\n");
}

}  // namespace
}  // namespace persimmon
