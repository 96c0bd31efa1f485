#include "settings/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace monsoonshelf::settings {

namespace {

const std::string kMinimal = R"(name = "entry-1"
zone = "west-a"
region = "west"
[listen]
calls = "10.0.0.1:8080"
peers = "10.0.0.1:8081"
metrics = "127.0.0.1:9100"
[platform]
address = "10.0.0.100:7000"
[[peers.keys]]
id = "k1"
secret = "00112233445566778899aabbccddeeff"
)";

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  const std::size_t position = text.find(from);
  CPPUNIT_ASSERT_MESSAGE(from, position != std::string::npos);
  return text.replace(position, from.size(), to);
}

Error ErrorOf(const std::string& text) {
  return Recover(
      [&]() -> Result<Error> {
        BOOST_LEAF_CHECK(ParseSettings(text, "f.toml", 1));
        return Error{ResultCode::kOk, "accepted"};
      },
      [](const Error& error) { return error; });
}

Settings Parse(const std::string& text) {
  return Recover([&] { return ParseSettings(text, "f.toml", 42); },
                 [](const Error& error) {
                   CPPUNIT_FAIL(error.message_);
                   return Settings{};
                 });
}

void ExpectError(const std::string& text, ResultCode code, const std::string& message) {
  const Error error = ErrorOf(text);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(message + " in " + error.message_, static_cast<int>(code),
                               static_cast<int>(error.code_));
  CPPUNIT_ASSERT_MESSAGE(message + " in " + error.message_,
                         error.message_.find(message) != std::string::npos);
}

}  // namespace

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsMinimalFile);
  CPPUNIT_TEST(ReadsEveryKey);
  CPPUNIT_TEST(ErrorsShowLineKeyValueAndRange);
  CPPUNIT_TEST(UnknownKeyErrorShowsNearestKey);
  CPPUNIT_TEST(ReportsAllErrors);
  CPPUNIT_TEST(ReportsMissingKeys);
  CPPUNIT_TEST(RejectsInvalidCombinationsOfKeys);
  CPPUNIT_TEST(ErrorsDoNotShowSecrets);
  CPPUNIT_TEST(RejectsUnreadableFiles);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsMinimalFile() {
    const Settings settings = Parse(kMinimal);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:8080"), settings.advertise_calls_);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:8081"), settings.advertise_peers_);
    CPPUNIT_ASSERT_EQUAL(Incarnation{42}, settings.incarnation_);
    CPPUNIT_ASSERT(settings.log_.file_.empty() && settings.seeds_.empty());
    CPPUNIT_ASSERT_EQUAL(64, settings.limits_.max_hosts_);
  }

  // Guards against a key that is accepted and then ignored.
  void ReadsEveryKey() {
    const Settings settings = Parse("data_tasks = 3\nkeep_seconds = 5\nstop_seconds = 60\n" +
                                    Replace(kMinimal, "[platform]", R"([platform]
calls_per_second = 7)") + R"([advertise]
calls = "192.0.2.1:80"
peers = "192.0.2.1:81"
[limits]
header_bytes = 2048
body_buffer_bytes = 8192
total_body_bytes = 100000
max_hosts = 16
[outcomes]
max_calls = 2000
max_body_bytes = 10
max_total_body_bytes = 20
retention_minutes = 15
future_minutes = 3
[log]
level = "debug"
file = "/var/log/x.log"
)");
    CPPUNIT_ASSERT(settings.data_tasks_ == 3 && settings.keep_seconds_ == 5);
    CPPUNIT_ASSERT(settings.stop_timeout_ == std::chrono::seconds(60));
    CPPUNIT_ASSERT_EQUAL(7, settings.platform_calls_per_second_);
    CPPUNIT_ASSERT_EQUAL(std::string("192.0.2.1:80 192.0.2.1:81"),
                         settings.advertise_calls_ + " " + settings.advertise_peers_);
    const Limits& limits = settings.limits_;
    CPPUNIT_ASSERT(limits.header_bytes_ == 2048 && limits.body_buffer_bytes_ == 8192);
    CPPUNIT_ASSERT(limits.total_body_bytes_ == 100'000 && limits.max_hosts_ == 16);
    const auto& outcomes = settings.outcomes_;
    CPPUNIT_ASSERT(outcomes.max_calls_ == 2000 && outcomes.max_body_bytes_ == 10);
    CPPUNIT_ASSERT(outcomes.max_total_body_bytes_ == 20 && outcomes.retention_minutes_ == 15);
    CPPUNIT_ASSERT(outcomes.future_minutes_ == 3);
    CPPUNIT_ASSERT(settings.log_.level_ == logging::LogLevel::kDebug);
    CPPUNIT_ASSERT_EQUAL(std::string("/var/log/x.log"), settings.log_.file_);
  }

  void ErrorsShowLineKeyValueAndRange() {
    constexpr auto kInvalid = ResultCode::kSettingsInvalidValue;
    ExpectError("data_tasks = 0\n" + kMinimal, kInvalid,
                "f.toml:1: key data_tasks is 0, allowed: an integer from 1 to 64");
    ExpectError("data_tasks = 2.0\n" + kMinimal, kInvalid, "key data_tasks is 2.0");
    ExpectError("data_tasks = \"2\"\n" + kMinimal, kInvalid, "key data_tasks is \"2\"");
    ExpectError(Replace(kMinimal, "10.0.0.1:8081", "entry-1.example:8081"), kInvalid,
                "f.toml:6: key listen.peers is \"entry-1.example:8081\", allowed: an IP address");
    ExpectError(Replace(kMinimal, "\"entry-1\"", "\"entry\\n1\""), kInvalid,
                R"(f.toml:1: key name is "entry\n1", allowed: 1 to 64)");
    ExpectError("log = \"debug\"\n" + kMinimal, kInvalid, "key log is \"debug\", allowed: a table");
    ExpectError(kMinimal + "[log]\nlevel = \"all\"\n", kInvalid,
                "f.toml:14: key log.level is \"all\", allowed: one of debug");
    ExpectError(Replace(kMinimal, "[[peers.keys]]",
                        "[peers]\nseeds = [\"10.0.0.2:1\", 3]\n"
                        "[[peers.keys]]"),
                kInvalid, "f.toml:11: key peers.seeds is 3");
    ExpectError("name = \n", ResultCode::kSettingsSyntax, "f.toml:1: ");
    ExpectError("name = \"a\"\nname = \"b\"\n", ResultCode::kSettingsSyntax, "f.toml:2: ");
  }

  void UnknownKeyErrorShowsNearestKey() {
    ExpectError("data_task = 1\n" + kMinimal, ResultCode::kSettingsUnknownKey,
                "f.toml:1: key data_task is unknown, nearest known key: data_tasks");
    ExpectError(kMinimal + "[limits]\nmax_host = 1\n", ResultCode::kSettingsUnknownKey,
                "f.toml:14: key limits.max_host is unknown, nearest known key: limits.max_hosts");
    ExpectError(kMinimal + "colour = 1\n", ResultCode::kSettingsUnknownKey,
                "f.toml:13: key peers.keys.colour is unknown");
  }

  void ReportsAllErrors() {
    const Error error = ErrorOf("keep_seconds = 0\nx = 1\n" + kMinimal);
    CPPUNIT_ASSERT(error.message_.find("f.toml:1: key keep_seconds is 0") != std::string::npos);
    CPPUNIT_ASSERT(error.message_.find("\nf.toml:2: key x is unknown") != std::string::npos);
  }

  void ReportsMissingKeys() {
    for (const char* key :
         {"name", "zone", "region", "calls", "peers", "metrics", "address", "id", "secret"}) {
      const std::string line = "\n" + std::string(key) + " = ";
      const std::string text = Replace("\n" + kMinimal, line, "\n# ");
      const Error error = ErrorOf(text);
      CPPUNIT_ASSERT_MESSAGE(key, error.code_ == ResultCode::kSettingsMissingKey);
      CPPUNIT_ASSERT_MESSAGE(error.message_, error.message_.find(key) != std::string::npos);
    }
    ExpectError("", ResultCode::kSettingsMissingKey, "key peers.keys is missing");
  }

  // Guards against values that are valid alone but together make a host that cannot be reached or
  // cannot stop gracefully.
  void RejectsInvalidCombinationsOfKeys() {
    ExpectError("keep_seconds = 30\nstop_seconds = 31\n" + kMinimal,
                ResultCode::kSettingsInvalidValue, "more than keep_seconds plus 1, which is 31");
    ExpectError(Replace(kMinimal, "10.0.0.1:8080", "0.0.0.0:8080"), ResultCode::kSettingsMissingKey,
                "key advertise.calls is missing");
    ExpectError(kMinimal + "[limits]\nbody_buffer_bytes = 1000000\ntotal_body_bytes = 70000\n",
                ResultCode::kSettingsInvalidValue, "at least limits.body_buffer_bytes");
    ExpectError(
        kMinimal + "[[peers.keys]]\nid = \"k1\"\nsecret = \"" + std::string(32, '0') + "\"\n",
        ResultCode::kSettingsInvalidValue, "f.toml:14: key peers.keys.id is \"k1\"");
  }

  // Guards against a mistyped secret that appears in an error message and so in the log.
  void ErrorsDoNotShowSecrets() {
    const Error error = ErrorOf(Replace(kMinimal, "00112233", "0011223g"));
    CPPUNIT_ASSERT(error.code_ == ResultCode::kSettingsInvalidValue);
    CPPUNIT_ASSERT(error.message_.find("32 characters, allowed: 32 to 128") != std::string::npos);
    CPPUNIT_ASSERT(error.message_.find("0011223g") == std::string::npos);
  }

  void RejectsUnreadableFiles() {
    for (const char* file : {SOURCE_DIR, SOURCE_DIR "/absent.toml", ""}) {
      const ResultCode code = Recover(
          [&]() -> Result<ResultCode> {
            BOOST_LEAF_CHECK(LoadSettings(file));
            return ResultCode::kOk;
          },
          [](const Error& error) { return error.code_; });
      CPPUNIT_ASSERT_MESSAGE(file, code == ResultCode::kFileUnreadable);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace monsoonshelf::settings
