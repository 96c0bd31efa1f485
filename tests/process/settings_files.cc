#include "tests/process/settings_files.h"

#include <fstream>

#include "tests/soak/free_port.h"

namespace monsoonshelf::process {

using soak::FreeLoopbackAddress;

ServeSettings MakeServeSettings(const std::string& store_address) {
  const std::string front = FreeLoopbackAddress();
  const std::string readiness = FreeLoopbackAddress();
  return {
      "nodeName = \"host-1\"\nip = \"127.0.0.1\"\nzone = \"zone-1\"\nregion = \"r\"\n"
      "portRange = [" +
          std::to_string(soak::FreePort()) + ", 0]\nbounds = [\"graceS=4\"]\n[bind]\nfront = \"" +
          front + "\"\nreadiness = \"" + readiness + "\"\n[platform]\naddress = \"" +
          store_address + "\"\n",
      front, readiness};
}

std::string MakeRunSettings(const std::string& metrics_address) {
  return "name = \"host-1\"\nzone = \"zone-1\"\nregion = \"r\"\nkeep_seconds = 1\nstop_seconds = "
         "4\n"
         "[listen]\ncalls = \"" +
         FreeLoopbackAddress() + "\"\npeers = \"" + FreeLoopbackAddress() + "\"\nmetrics = \"" +
         metrics_address + "\"\n[platform]\naddress = \"" + FreeLoopbackAddress() +
         "\"\n[peers]\nseeds = []\n[[peers.keys]]\nid = \"k\"\nsecret = "
         "\"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\"\n";
}

void WriteFile(const std::string& file, const std::string& text) {
  std::ofstream(file, std::ios::trunc) << text;
}

}  // namespace monsoonshelf::process
