#pragma once

#include "control/control_types.h"
#include "entry/entry_types.h"

namespace monsoonshelf::app {

// Copies the part of a control view that the entry module needs to route calls.
entry::EntryViewPtr MakeEntryView(const control::ControlView& view);

}  // namespace monsoonshelf::app
