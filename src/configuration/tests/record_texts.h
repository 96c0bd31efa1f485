#pragma once

#include <string>

#include "configuration/configuration.h"

namespace monsoonshelf::configuration {

inline std::string RecordText(const std::string& kind, const std::string& name,
                              const std::string& spec, int schema = 1) {
  return R"({"kind":")" + kind + R"(","schema":)" + std::to_string(schema) + R"(,"name":")" + name +
         R"(","spec":)" + spec + "}";
}

inline RecordVersion ZoneRecord(const std::string& name, Version version,
                                const std::string& state = "in") {
  return {{records::Kind::kZone, name},
          version,
          RecordText("zone", name, R"({"region":"r1","state":")" + state + R"("})")};
}

inline RecordVersion Tombstone(records::Kind kind, const std::string& name, Version version) {
  return {{kind, name}, version, std::nullopt};
}

}  // namespace monsoonshelf::configuration
