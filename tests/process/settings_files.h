#pragma once

#include <string>

namespace monsoonshelf::process {

// Settings file of `serve`, for a host that listens on free ports of loopback.
struct ServeSettings {
  std::string text_;
  std::string front_address_;
  std::string readiness_address_;
};

ServeSettings MakeServeSettings(const std::string& store_address);

// Text of a settings file of `run`, for a host that listens on free ports of loopback. The platform
// address is one on which nothing listens.
std::string MakeRunSettings(const std::string& metrics_address);

void WriteFile(const std::string& file, const std::string& text);

}  // namespace monsoonshelf::process
