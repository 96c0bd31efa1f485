#include "app/internal/entry_view.h"

#include <memory>

namespace monsoonshelf::app {

entry::EntryViewPtr MakeEntryView(const control::ControlView& view) {
  auto result = std::make_shared<entry::EntryView>();
  result->snapshot_ = view.snapshot_;
  result->members_ = view.members_;
  if (view.placements_ != nullptr) {
    for (const auto& [key, placement] : *view.placements_) {
      result->placements_[key] = {placement.dispatcher_, placement.entry_hosts_};
    }
  }
  result->assignments_ = view.assignments_;
  result->has_configuration_ = view.has_configuration_;
  result->isolated_ = view.isolated_;
  return result;
}

}  // namespace monsoonshelf::app
