#include <glib-unix.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/key_value.h"
#include "tests/standins/platform_server.h"
#include "tests/standins/subcommands.h"

namespace monsoonshelf::standins {

namespace {

namespace po = boost::program_options;
using nlohmann::json;

po::options_description MakeOptions() {
  po::options_description options("monsoonshelf_standins platform");
  auto add = options.add_options();
  add("help", "show this text");
  add("address", po::value<std::string>()->default_value("127.0.0.1"), "IP address to listen on");
  add("port", po::value<int>()->default_value(0), "port to listen on; 0: chosen by the kernel");
  add("records", po::value<std::vector<std::string>>()->multitoken(),
      "JSON files (one record or an array of records) or folders of them, loaded at start");
  add("hosts-lag-ms", po::value<int>()->default_value(2000),
      "age of the host list in milliseconds");
  return options;
}

// Loads a JSON file that holds one record or an array of records.
void LoadRecords(PlatformServer& server, const std::filesystem::path& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read \"" + path.string() + "\"");
  const json content = json::parse(file);
  const auto put_record = [&server](const json& record) {
    server.PutObject({record.at("kind").get<std::string>(), record.at("name").get<std::string>()},
                     record.dump());
  };
  if (!content.is_array()) return put_record(content);
  for (const auto& record : content) put_record(record);
}

// Loads a file, or the .json files of a folder in the order of their names.
void LoadPath(PlatformServer& server, const std::filesystem::path& path) {
  if (!std::filesystem::is_directory(path)) return LoadRecords(server, path);
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(path)) {
    if (entry.path().extension() == ".json") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  for (const auto& file : files) LoadRecords(server, file);
}

void RunUntilSignal() {
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  const auto stop = [](gpointer data) -> gboolean {
    g_main_loop_quit(static_cast<GMainLoop*>(data));
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGTERM, stop, loop);
  g_unix_signal_add(SIGINT, stop, loop);
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
}

}  // namespace

int RunPlatform(const std::vector<std::string>& args) {
  try {
    const auto options = MakeOptions();
    po::variables_map values;
    po::store(po::command_line_parser(args).options(options).run(), values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << options;
      return 0;
    }
    PlatformServerSettings settings;
    settings.address_ = values["address"].as<std::string>();
    settings.port_ = values["port"].as<int>();
    settings.host_list_lag_ = std::chrono::milliseconds(values["hosts-lag-ms"].as<int>());
    PlatformServer server(settings);
    if (values.count("records") > 0) {
      for (const auto& path : values["records"].as<std::vector<std::string>>()) {
        LoadPath(server, path);
      }
    }
    const auto error = Recover(
        [&]() -> Result<std::string> {
          BOOST_LEAF_CHECK(server.Listen());
          return std::string();
        },
        [](const Error& failure) { return failure.message_; });
    if (!error.empty()) throw std::runtime_error(error);
    std::cout << FormatKeyValues({{"standin", "platform"},
                                  {"address", settings.address_},
                                  {"port", std::to_string(server.Port())}})
              << std::endl;
    RunUntilSignal();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << FormatKeyValues({{"standin", "platform"}, {"error", error.what()}}) << "\n";
    return 2;
  }
}

}  // namespace monsoonshelf::standins
