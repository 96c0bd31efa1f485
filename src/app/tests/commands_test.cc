#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

#include "app/internal/command.h"

namespace monsoonshelf::app {

class CommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandsTest);
  CPPUNIT_TEST(EveryCommandHasHelp);
  CPPUNIT_TEST(HelpListsOptionsOfAllSubcommands);
  CPPUNIT_TEST(ServeRejectsInvalidOptionValues);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a usage line that names an option which the command does not define.
  void EveryCommandHasHelp() {
    for (const Command& command : Commands()) {
      std::ostringstream help;
      CPPUNIT_ASSERT(PrintCommandHelp(help, command.name_));
      CPPUNIT_ASSERT(help.str().find(command.summary_) != std::string::npos);
      const std::string usage(command.usage_);
      for (auto at = usage.find("--"); at != std::string::npos; at = usage.find("--", at + 2)) {
        const std::string option = usage.substr(at, usage.find_first_of(" ]", at) - at);
        CPPUNIT_ASSERT_MESSAGE(option, command.options_ != nullptr);
        CPPUNIT_ASSERT_MESSAGE(option,
                               command.options_().find_nothrow(option.substr(2), false) != nullptr);
      }
    }
    std::ostringstream none;
    CPPUNIT_ASSERT(!PrintCommandHelp(none, "no-such-command"));
  }

  void HelpListsOptionsOfAllSubcommands() {
    std::ostringstream help;
    PrintCommandHelp(help, "records");
    for (const char* option : {"--platform", "--replace", "--version", "--after", "--count"}) {
      CPPUNIT_ASSERT_MESSAGE(option, help.str().find(option) != std::string::npos);
    }
  }

  // Guards against a misspelt log level that disables or enables all log lines without an error.
  void ServeRejectsInvalidOptionValues() {
    for (const Command& command : Commands()) {
      if (command.name_ != "serve") continue;
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitUsage), command.run_({"--log-level", "loud"}));
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitUsage), command.run_({"--metrics-port", "70000"}));
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(kExitUsage), command.run_({"--max-hedge-share", "2"}));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandsTest);

}  // namespace monsoonshelf::app
