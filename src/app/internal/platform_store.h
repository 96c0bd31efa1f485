#pragma once

#include <memory>
#include <string>

#include "app/internal/irecord_store.h"

namespace monsoonshelf::app {

// Makes a store client for a platform address (IP address and port). Each call waits at most
// `timeout`. Error: kSettingsInvalidValue.
Result<std::unique_ptr<IRecordStore>> MakePlatformStore(const std::string& address,
                                                        Duration timeout);

}  // namespace monsoonshelf::app
