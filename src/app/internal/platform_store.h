#pragma once

#include <memory>
#include <string>

#include "app/internal/irecord_store.h"

namespace monsoonshelf::app {

// The store at a platform address; each call waits at most `timeout`. Error: kSettingsInvalidValue.
Result<std::unique_ptr<IRecordStore>> MakePlatformStore(const std::string& address,
                                                        Duration timeout);

}  // namespace monsoonshelf::app
