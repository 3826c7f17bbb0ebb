// Tests of the settings file: every fault is found in one run, with its place.

#include <unistd.h>

#include <cstdio>
#include <fstream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "settings/settings.h"

namespace sassafras::settings {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kGood = R"([process]
name = "entry-1"
zone = "tbilisi-a"
data_folder = "/var/lib/sassafras"
[http]
address = "127.0.0.1"
port = 8080
[peer]
address = "127.0.0.1"
port = 7080
[cluster]
secret = "0123456789abcdef"
[[cluster.peers]]
name = "entry-1"
zone = "tbilisi-a"
address = "127.0.0.1"
port = 7080
[[cluster.peers]]
name = "entry-2"
zone = "tbilisi-b"
address = "::1"
port = 7080
)";

std::vector<Problem> ProblemsOf(std::string_view text) {
  std::vector<Problem> problems;
  const auto settings = Settings::Parse(text, "f.toml", problems);
  EXPECT_EQ(settings.has_value(), problems.empty());
  return problems;
}

// kGood with one text replaced.
std::string With(std::string_view from, std::string_view to) {
  std::string text(kGood);
  const size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

// Expects exactly one problem, at `line`, whose message holds `part`.
void ExpectOne(std::string_view text, uint32_t line, std::string_view part) {
  const auto problems = ProblemsOf(text);
  ASSERT_EQ(problems.size(), 1u) << text;
  EXPECT_EQ(problems[0].line, line) << problems[0].ToString();
  EXPECT_GT(problems[0].column, 0u);
  EXPECT_NE(problems[0].message.find(part), std::string::npos)
      << problems[0].ToString();
}

TEST(SettingsTest, GoodFileIsReadWithDefaults) {
  std::vector<Problem> problems;
  const auto settings = Settings::Parse(kGood, "f.toml", problems);
  ASSERT_TRUE(settings) << problems.at(0).ToString();
  EXPECT_EQ(settings->process.name, wire::EntryId("entry-1"));
  EXPECT_TRUE(settings->IsControlReplica());
  EXPECT_EQ(settings->cluster.peers[1].endpoint.ToString(), "[::1]:7080");
  EXPECT_EQ(settings->timing.heartbeat, milliseconds(50));
  EXPECT_EQ(settings->timing.worker_lease, milliseconds(3000));
  EXPECT_EQ(settings->limits.max_body_bytes, 4u * 1024 * 1024);
  EXPECT_EQ(settings->grace.drain, milliseconds(10000));
  EXPECT_EQ(settings->log.level, "info");
}

TEST(SettingsTest, OptionalTablesOverrideDefaults) {
  std::vector<Problem> problems;
  const std::string text = std::string(kGood) +
                           "[timing]\nsession_ms = 900\n[threads]\n"
                           "traffic = 4\n[log]\nlevel = \"debug\"\n";
  const auto settings = Settings::Parse(text, "f.toml", problems);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->timing.session, milliseconds(900));
  EXPECT_EQ(settings->threads.traffic, 4u);
  EXPECT_EQ(settings->log.level, "debug");
}

// The platform tells some times in seconds, which may be fractions.
TEST(SettingsTest, TimesMayBeFractions) {
  std::vector<Problem> problems;
  const std::string text =
      std::string(kGood) + "[jobs]\nkeep_ended_ms = 1.5e3\n";
  const auto settings = Settings::Parse(text, "f.toml", problems);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->jobs.keep_ended, milliseconds(1500));
  ExpectOne(std::string(kGood) + "[jobs]\nkeep_ended_ms = 1e300\n", 24,
            "must be an integer");
}

TEST(SettingsTest, UnknownKeysAreNamedWithTheirPlace) {
  ExpectOne(With("name = \"entry-1\"", "nmae = 1\nname = \"entry-1\""), 2,
            "unknown key \"process.nmae\"");
  ExpectOne(std::string(kGood) + "[extra]\n", 23, "unknown key \"extra\"");
  ExpectOne(With("secret =", "extra = 1\nsecret ="), 12,
            "unknown key \"cluster.extra\"");
}

TEST(SettingsTest, WrongTypesAndMissingKeysAreRefused) {
  ExpectOne(With("port = 8080", "port = \"8080\""), 7, "must be an integer");
  ExpectOne(With("port = 8080", "port = 80.5"), 7, "must be an integer");
  ExpectOne(With("zone = \"tbilisi-a\"", "zone = 3"), 3, "must be a string");
  ExpectOne(With("port = 8080\n", ""), 5, "missing key \"http.port\"");
  ExpectOne("log = 3\n" + std::string(kGood), 1, "must be a table");
  ExpectOne(With("secret = \"0123456789abcdef\"", ""), 11, "missing key");
}

TEST(SettingsTest, OutOfRangeValuesAreRefused) {
  ExpectOne(With("port = 8080", "port = 0"), 7, "is 0, must be 1 to 65535");
  ExpectOne(With("port = 8080", "port = 65536"), 7, "must be 1 to 65535");
  ExpectOne(std::string(kGood) + "[threads]\ntraffic = -1\n", 24,
            "is -1, must be 1 to 64");
  ExpectOne(With("0123456789abcdef", "short"), 12, "at least 16 bytes");
  ExpectOne(std::string(kGood) + "[log]\nlevel = \"loud\"\n", 24,
            "must be one of");
}

TEST(SettingsTest, HostNamesAreNoAddresses) {
  ExpectOne(With("address = \"127.0.0.1\"\nport = 8080",
                 "address = \"localhost\"\nport = 8080"),
            6, "must be an IP number, \"localhost\" is none");
}

TEST(SettingsTest, ClashingAddressesAreRefused) {
  ExpectOne(With("port = 8080", "port = 7080"), 10, "clashes with [http]");
  ExpectOne(With("address = \"::1\"", "address = \"127.0.0.1\""), 18,
            "clashes with peer \"entry-1\"");
  ExpectOne(With("address = \"::1\"\nport = 7080",
                 "address = \"127.0.0.1\"\nport = 8080"),
            18, "clashes with [http] of this process");
  ExpectOne(With("name = \"entry-2\"", "name = \"entry-1\""), 18,
            "listed twice, first on line 13");
}

TEST(SettingsTest, MissingOrContradictingOwnPeerIsRefused) {
  ExpectOne(With("name = \"entry-1\"", "name = \"entry-9\""), 2,
            "missing peer");
  ExpectOne(With("zone = \"tbilisi-a\"", "zone = \"tbilisi-c\""), 13,
            "but [process] says \"tbilisi-c\"");
  ExpectOne(With("port = 7080", "port = 7081"), 13, "but [peer] says");
  const std::string text(kGood);
  ExpectOne(text.substr(0, text.find("[[cluster")), 11, "missing peer");
}

TEST(SettingsTest, TimesMustBeInOrder) {
  ExpectOne(std::string(kGood) + "[timing]\nheartbeat_ms = 400\n", 24,
            "at most 1/3 of \"timing.election_timeout_ms\"");
  ExpectOne(std::string(kGood) + "[timing]\nsession_ms = 200\n", 24,
            "\"timing.election_timeout_ms\" must be at most");
}

TEST(SettingsTest, SyntaxErrorHasItsPlace) {
  ExpectOne(With("port = 8080", "port = = 1"), 7, "");
}

TEST(SettingsTest, AllFaultsAreReportedInOneRunInOrderOfTheFile) {
  const auto problems = ProblemsOf(R"([process]
name = "a b"
[http]
address = "example.org"
port = 99999
colour = "red"
[peer]
address = "127.0.0.1"
port = 7080
[cluster]
secret = "x"
)");
  std::vector<uint32_t> lines;
  for (const auto& problem : problems) {
    lines.push_back(problem.line);
  }
  // Line 1 lacks process.zone; line 10 lacks the peers.
  EXPECT_EQ(lines, (std::vector<uint32_t>{1, 2, 4, 5, 6, 10, 11}));
}

TEST(SettingsTest, LoadNamesTheFileThatItCannotRead) {
  std::vector<Problem> problems;
  EXPECT_FALSE(Settings::Load("/nonexistent/a.toml", problems));
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_EQ(problems[0].file, "/nonexistent/a.toml");
  EXPECT_EQ(problems[0].ToString().find("/nonexistent/a.toml: cannot read"),
            0u);
}

TEST(SettingsTest, LoadReadsAFile) {
  const std::string path =
      testing::TempDir() + "settings_" + std::to_string(getpid()) + ".toml";
  std::ofstream(path) << kGood;
  std::vector<Problem> problems;
  EXPECT_TRUE(Settings::Load(path, problems));
  std::remove(path.c_str());
}

// Any text is read or refused; nothing throws or crashes.
RC_GTEST_PROP(SettingsProperty, DamagedFilesNeverCrash, ()) {
  std::string text(kGood);
  const auto edits = *rc::gen::container<std::vector<std::pair<size_t, char>>>(
      rc::gen::pair(rc::gen::inRange<size_t>(0, text.size()),
                    rc::gen::arbitrary<char>()));
  for (const auto& [at, c] : edits) {
    text[at] = c;
  }
  std::vector<Problem> problems;
  const auto settings = Settings::Parse(text, "f.toml", problems);
  RC_ASSERT(settings.has_value() == problems.empty());
}

}  // namespace
}  // namespace sassafras::settings
