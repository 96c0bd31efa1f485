#pragma once

#include "control/control_types.h"
#include "entry/entry_types.h"

namespace monsoonshelf::app {

// The part of a control view that the call path reads.
entry::EntryViewPtr MakeEntryView(const control::ControlView& view);

}  // namespace monsoonshelf::app
