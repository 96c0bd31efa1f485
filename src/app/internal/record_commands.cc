#include "app/internal/record_commands.h"

#include <unistd.h>

#include <array>
#include <iostream>
#include <random>
#include <sstream>

#include "app/internal/command_line.h"
#include "app/internal/platform_store.h"
#include "records/record_file.h"
#include "records/record_set.h"
#include "settings/settings.h"

namespace monsoonshelf::app {

namespace {

namespace options = boost::program_options;
using records::Record;

constexpr std::size_t kMaxFiles = 10'000;

options::options_description ApplyOptions() {
  options::options_description description("apply");
  description.add_options()("replace", "replace records whose file has no version");
  return description;
}

options::options_description DeleteOptions() {
  options::options_description description("delete");
  description.add_options()("version", options::value<Version>(), "delete only this version");
  return description;
}

options::options_description WatchOptions() {
  options::options_description description("watch");
  description.add_options()("after", options::value<Version>(), "print changes above this version")(
      "count", options::value<std::size_t>()->default_value(0), "end after this many changes");
  return description;
}

}  // namespace

options::options_description PlatformOptions() {
  options::options_description description("Options");
  description.add_options()("platform", options::value<std::string>(), "IP address and port")(
      "settings", options::value<std::string>(), "settings file that names the platform")(
      "timeout-ms", options::value<int>()->default_value(2000), "for each call")(
      "writer", options::value<std::string>(), "name kept with each write");
  return description;
}

options::options_description RecordsOptions() {
  auto description = PlatformOptions();
  description.add(ApplyOptions()).add(DeleteOptions()).add(WatchOptions());
  return description;
}

namespace {

Result<std::unique_ptr<IRecordStore>> OpenStore(const options::variables_map& values) {
  const int timeout = values["timeout-ms"].as<int>();
  if (timeout < 1 || timeout > 600'000) {
    return Fail(ResultCode::kUsage, "option --timeout-ms is " + std::to_string(timeout) +
                                        ", allowed: an integer from 1 to 600000");
  }
  if (values.count("platform") + values.count("settings") != 1) {
    return Fail(ResultCode::kUsage, "expected either --platform ADDRESS or --settings FILE");
  }
  std::string address;
  if (values.count("platform") > 0) {
    address = values["platform"].as<std::string>();
  } else {
    BOOST_LEAF_AUTO(loaded, settings::LoadSettings(values["settings"].as<std::string>()));
    address = loaded.platform_address_;
  }
  return MakePlatformStore(address, std::chrono::milliseconds(timeout));
}

WriteMark MakeMark(const options::variables_map& values) {
  std::random_device device;
  std::ostringstream nonce;
  for (int i = 0; i < 4; ++i) nonce << std::hex << device();
  if (values.count("writer") > 0) return {values["writer"].as<std::string>(), nonce.str()};
  std::array<char, 256> host{};
  gethostname(host.data(), host.size() - 1);
  return {std::string(host.data()) + ":" + std::to_string(getpid()), nonce.str()};
}

Result<std::vector<Record>> ReadRecordFiles(const Arguments& files) {
  std::vector<Record> all;
  for (const std::string& file : files) {
    BOOST_LEAF_AUTO(text, ReadFile(file, records::kMaxRecordFileBytes));
    const auto some = Capture<std::vector<Record>>([&] { return records::ParseRecordFile(text); });
    if (!some.value_) return Fail(some.error_.code_, file + ": " + some.error_.message_);
    all.insert(all.end(), some.value_->begin(), some.value_->end());
  }
  return all;
}

Result<int> Validate(const Arguments& arguments) {
  BOOST_LEAF_AUTO(values, ReadCommandLine({}, arguments, 1, kMaxFiles));
  int code = kExitOk;
  std::vector<Record> all;
  for (const std::string& file : Positional(values)) {
    code = Recover(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(some, ReadRecordFiles({file}));
          std::cout << file << ": " << some.size() << " valid records\n";
          all.insert(all.end(), some.begin(), some.end());
          return code;
        },
        [](const Error& error) -> int {
          std::cerr << error.message_ << "\n";
          return kExitFailed;
        });
  }
  // With an invalid file, references to its records would only look wrong.
  if (code != kExitOk) return code;
  const auto faults = records::CheckRecordSet(all);
  for (const std::string& fault : faults) std::cerr << fault << "\n";
  return faults.empty() ? kExitOk : kExitFailed;
}

Result<std::string> CheckKind(const std::string& kind) {
  if (ValueOf(records::kKindNames, kind)) return kind;
  return Fail(ResultCode::kRecordUnknownKind,
              "kind is \"" + kind + "\", allowed: one of service, target, zone, rule");
}

Result<int> Get(const Arguments& arguments) {
  BOOST_LEAF_AUTO(values, ReadCommandLine(PlatformOptions(), arguments, 2, 2));
  const Arguments named = Positional(values);
  BOOST_LEAF_AUTO(kind, CheckKind(named[0]));
  BOOST_LEAF_AUTO(store, OpenStore(values));
  BOOST_LEAF_AUTO(object, store->Get(kind, named[1]));
  std::cout << Present(object.body_, object.version_) << "\n";
  return kExitOk;
}

Result<int> List(const Arguments& arguments) {
  BOOST_LEAF_AUTO(values, ReadCommandLine(PlatformOptions(), arguments, 0, 4));
  std::vector<std::string> kinds;
  for (const std::string& name : Positional(values)) {
    BOOST_LEAF_AUTO(kind, CheckKind(name));
    kinds.push_back(kind);
  }
  if (kinds.empty()) {
    for (const auto& [kind, name] : records::kKindNames) kinds.emplace_back(name);
  }
  BOOST_LEAF_AUTO(store, OpenStore(values));
  return ListRecords(*store, kinds, std::cout);
}

Result<int> Apply(const Arguments& arguments) {
  auto description = PlatformOptions();
  description.add(ApplyOptions());
  BOOST_LEAF_AUTO(values, ReadCommandLine(description, arguments, 1, kMaxFiles));
  // Nothing is written unless every record is valid.
  BOOST_LEAF_AUTO(all, ReadRecordFiles(Positional(values)));
  BOOST_LEAF_AUTO(store, OpenStore(values));
  return ApplyRecords(*store, std::move(all), values.count("replace") > 0, MakeMark(values),
                      std::cout);
}

Result<int> Delete(const Arguments& arguments) {
  auto description = PlatformOptions();
  description.add(DeleteOptions());
  BOOST_LEAF_AUTO(values, ReadCommandLine(description, arguments, 2, 2));
  const Arguments named = Positional(values);
  BOOST_LEAF_AUTO(kind, CheckKind(named[0]));
  BOOST_LEAF_AUTO(store, OpenStore(values));
  BOOST_LEAF_AUTO(current, store->Get(kind, named[1]));
  const Version version =
      values.count("version") > 0 ? values["version"].as<Version>() : current.version_;
  BOOST_LEAF_AUTO(report, DeleteRecord(*store, kind, named[1], version));
  std::cout << kind << "/" << named[1] << " " << NameOf(kWriteOutcomeNames, report.outcome_);
  if (report.outcome_ == WriteOutcome::kConflict) {
    std::cout << ": the platform has version " << report.other_.version_ << "\n";
    return kExitConflict;
  }
  std::cout << "\n";
  return report.outcome_ == WriteOutcome::kDeleted ? kExitOk : kExitFailed;
}

Result<int> Watch(const Arguments& arguments) {
  auto description = PlatformOptions();
  description.add(WatchOptions());
  BOOST_LEAF_AUTO(values, ReadCommandLine(description, arguments, 0, 0));
  BOOST_LEAF_AUTO(store, OpenStore(values));
  Version after = 0;
  if (values.count("after") > 0) {
    after = values["after"].as<Version>();
  } else {
    BOOST_LEAF_AUTO(listing, store->List({"service", "target", "zone", "rule"}));
    after = listing.version_;
  }
  return WatchRecords(*store, after, values["count"].as<std::size_t>(), std::cout, std::cerr);
}

struct Action {
  std::string_view name_;
  Result<int> (*run_)(const Arguments& arguments);
};

constexpr auto kActions = std::to_array<Action>({{"validate", Validate},
                                                 {"get", Get},
                                                 {"list", List},
                                                 {"apply", Apply},
                                                 {"delete", Delete},
                                                 {"watch", Watch}});

}  // namespace

int RecordsCommand(const Arguments& arguments) {
  for (const Action& action : kActions) {
    if (arguments.empty() || arguments[0] != action.name_) continue;
    return RunReporting("records " + arguments[0], [&] {
      return action.run_(Arguments(arguments.begin() + 1, arguments.end()));
    });
  }
  std::cerr << "monsoonshelf records: expected validate, get, list, apply, delete or watch\n";
  return kExitUsage;
}

int ZoneCommand(const Arguments& arguments) {
  return RunReporting("zone", [&]() -> Result<int> {
    BOOST_LEAF_AUTO(values, ReadCommandLine(PlatformOptions(), arguments, 2, 2));
    const Arguments named = Positional(values);
    const auto state = ValueOf(records::kZoneStateNames, named[0]);
    if (!state) return Fail(ResultCode::kUsage, "expected out NAME or in NAME");
    BOOST_LEAF_AUTO(store, OpenStore(values));
    return SetZoneState(*store, named[1], *state, MakeMark(values), std::cout);
  });
}

}  // namespace monsoonshelf::app
