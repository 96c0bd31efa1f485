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
  description.add_options()("replace", "replace the current record if the file states no version");
  return description;
}

options::options_description DeleteOptions() {
  options::options_description description("delete");
  description.add_options()("version", options::value<Version>(),
                            "delete only if the record has this version");
  return description;
}

options::options_description WatchOptions() {
  options::options_description description("watch");
  description.add_options()("after", options::value<Version>(), "print changes after this version")(
      "count", options::value<std::size_t>()->default_value(0),
      "exit after this many changes; 0: no limit");
  return description;
}

}  // namespace

options::options_description PlatformOptions() {
  options::options_description description("Options");
  description.add_options()("platform", options::value<std::string>(),
                            "IP address and port of the platform")(
      "settings", options::value<std::string>(), "settings file with the platform address")(
      "timeout-ms", options::value<int>()->default_value(2000), "timeout of each platform call")(
      "writer", options::value<std::string>(), "writer name that is stored with each record");
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

WriterInfo MakeWriterInfo(const options::variables_map& values) {
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
    const auto parsed =
        Capture<std::vector<Record>>([&] { return records::ParseRecordFile(text); });
    if (!parsed.value_) return Fail(parsed.error_.code_, file + ": " + parsed.error_.message_);
    all.insert(all.end(), parsed.value_->begin(), parsed.value_->end());
  }
  return all;
}

Result<int> RunValidate(const Arguments& arguments) {
  BOOST_LEAF_AUTO(values, ParseCommandLine({}, arguments, 1, kMaxFiles));
  int code = kExitOk;
  std::vector<Record> all;
  for (const std::string& file : PositionalArguments(values)) {
    code = Recover(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(file_records, ReadRecordFiles({file}));
          std::cout << file << ": " << file_records.size() << " valid records\n";
          all.insert(all.end(), file_records.begin(), file_records.end());
          return code;
        },
        [](const Error& error) -> int {
          std::cerr << error.message_ << "\n";
          return kExitFailed;
        });
  }
  // References to records of an invalid file cannot be checked and would be reported as missing.
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

Result<int> RunGet(const Arguments& arguments) {
  BOOST_LEAF_AUTO(values, ParseCommandLine(PlatformOptions(), arguments, 2, 2));
  const Arguments names = PositionalArguments(values);
  BOOST_LEAF_AUTO(kind, CheckKind(names[0]));
  BOOST_LEAF_AUTO(store, OpenStore(values));
  BOOST_LEAF_AUTO(object, store->Get(kind, names[1]));
  std::cout << FormatWithVersion(object.body_, object.version_) << "\n";
  return kExitOk;
}

Result<int> RunList(const Arguments& arguments) {
  BOOST_LEAF_AUTO(values, ParseCommandLine(PlatformOptions(), arguments, 0, 4));
  std::vector<std::string> kinds;
  for (const std::string& name : PositionalArguments(values)) {
    BOOST_LEAF_AUTO(kind, CheckKind(name));
    kinds.push_back(kind);
  }
  if (kinds.empty()) {
    for (const auto& [kind, name] : records::kKindNames) kinds.emplace_back(name);
  }
  BOOST_LEAF_AUTO(store, OpenStore(values));
  return ListRecords(*store, kinds, std::cout);
}

Result<int> RunApply(const Arguments& arguments) {
  auto description = PlatformOptions();
  description.add(ApplyOptions());
  BOOST_LEAF_AUTO(values, ParseCommandLine(description, arguments, 1, kMaxFiles));
  // Nothing is written unless every record is valid.
  BOOST_LEAF_AUTO(all, ReadRecordFiles(PositionalArguments(values)));
  BOOST_LEAF_AUTO(store, OpenStore(values));
  return ApplyRecords(*store, std::move(all), values.count("replace") > 0, MakeWriterInfo(values),
                      std::cout);
}

Result<int> RunDelete(const Arguments& arguments) {
  auto description = PlatformOptions();
  description.add(DeleteOptions());
  BOOST_LEAF_AUTO(values, ParseCommandLine(description, arguments, 2, 2));
  const Arguments names = PositionalArguments(values);
  BOOST_LEAF_AUTO(kind, CheckKind(names[0]));
  BOOST_LEAF_AUTO(store, OpenStore(values));
  BOOST_LEAF_AUTO(current, store->Get(kind, names[1]));
  const Version version =
      values.count("version") > 0 ? values["version"].as<Version>() : current.version_;
  BOOST_LEAF_AUTO(report, DeleteRecord(*store, kind, names[1], version));
  std::cout << kind << "/" << names[1] << " " << NameOf(kWriteOutcomeNames, report.outcome_);
  if (report.outcome_ == WriteOutcome::kConflict) {
    std::cout << ": the platform has version " << report.conflicting_object_.version_ << "\n";
    return kExitConflict;
  }
  std::cout << "\n";
  return report.outcome_ == WriteOutcome::kDeleted ? kExitOk : kExitFailed;
}

Result<int> RunWatch(const Arguments& arguments) {
  auto description = PlatformOptions();
  description.add(WatchOptions());
  BOOST_LEAF_AUTO(values, ParseCommandLine(description, arguments, 0, 0));
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

struct Subcommand {
  std::string_view name_;
  Result<int> (*run_)(const Arguments& arguments);
};

constexpr auto kSubcommands = std::to_array<Subcommand>({{"validate", RunValidate},
                                                         {"get", RunGet},
                                                         {"list", RunList},
                                                         {"apply", RunApply},
                                                         {"delete", RunDelete},
                                                         {"watch", RunWatch}});

}  // namespace

int RecordsCommand(const Arguments& arguments) {
  for (const Subcommand& subcommand : kSubcommands) {
    if (arguments.empty() || arguments[0] != subcommand.name_) continue;
    return RunAndReportError("records " + arguments[0], [&] {
      return subcommand.run_(Arguments(arguments.begin() + 1, arguments.end()));
    });
  }
  std::cerr << "monsoonshelf records: expected validate, get, list, apply, delete or watch\n";
  return kExitUsage;
}

int ZoneCommand(const Arguments& arguments) {
  return RunAndReportError("zone", [&]() -> Result<int> {
    BOOST_LEAF_AUTO(values, ParseCommandLine(PlatformOptions(), arguments, 2, 2));
    const Arguments names = PositionalArguments(values);
    const auto state = ValueOf(records::kZoneStateNames, names[0]);
    if (!state) return Fail(ResultCode::kUsage, "expected zone out NAME or zone in NAME");
    BOOST_LEAF_AUTO(store, OpenStore(values));
    return SetZoneState(*store, names[1], *state, MakeWriterInfo(values), std::cout);
  });
}

}  // namespace monsoonshelf::app
