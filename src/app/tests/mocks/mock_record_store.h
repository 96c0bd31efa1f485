#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "app/internal/irecord_store.h"

namespace monsoonshelf::app {

// Keeps objects in memory. `faults_` are applied in order to the next Put, Delete, List and Watch
// calls, one to each.
class MockRecordStore : public IRecordStore {
 public:
  enum class Fault { kNone, kLostResponse, kLostRequest, kConcurrentWrite, kBadAnswer };

  std::map<std::pair<std::string, std::string>, coordination::PlatformObject> objects_;
  std::deque<Fault> faults_;
  Version version_ = 0;
  int writes_ = 0;  // Number of Put and Delete calls that took effect.

  void Set(const std::string& kind, const std::string& name, const std::string& body) {
    objects_[{kind, name}] = {kind, name, ++version_, false, body};
  }

  Result<coordination::PlatformObject> Get(const std::string& kind,
                                           const std::string& name) override {
    const auto found = objects_.find({kind, name});
    if (found == objects_.end()) return Fail(ResultCode::kPlatformNotFound, "no " + name);
    return found->second;
  }

  Result<coordination::PlatformObject> Put(const std::string& kind, const std::string& name,
                                           Version version, const std::string& body) override {
    const Fault fault = NextFault(kind, name);
    if (fault == Fault::kLostRequest) return Fail(ResultCode::kPlatformTimeout, "lost");
    if (fault == Fault::kBadAnswer) return Fail(ResultCode::kPlatformInvalidAnswer, "bad answer");
    BOOST_LEAF_CHECK(CheckVersion(kind, name, version));
    Set(kind, name, body);
    ++writes_;
    if (fault == Fault::kLostResponse) return Fail(ResultCode::kPlatformTimeout, "lost");
    return objects_[{kind, name}];
  }

  Result<void> Delete(const std::string& kind, const std::string& name, Version version) override {
    const Fault fault = NextFault(kind, name);
    if (fault == Fault::kLostRequest) return Fail(ResultCode::kPlatformTimeout, "lost");
    BOOST_LEAF_CHECK(CheckVersion(kind, name, version));
    objects_.erase({kind, name});
    ++version_;
    ++writes_;
    if (fault == Fault::kLostResponse) return Fail(ResultCode::kPlatformTimeout, "lost");
    return {};
  }

  Result<Listing> List(const std::vector<std::string>& kinds) override {
    return Watch(kinds, 0, {});
  }

  Result<Listing> Watch(const std::vector<std::string>& /*kinds*/, Version after,
                        Duration /*max_wait*/) override {
    if (NextFault("zone", "other") == Fault::kLostRequest) {
      return Fail(ResultCode::kPlatformUnreachable, "platform down");
    }
    Listing listing{{}, version_};
    for (const auto& [key, object] : objects_) {
      if (object.version_ > after) listing.objects_.push_back(object);
    }
    return listing;
  }

  coordination::PlatformObject LastConflict() const override { return conflict_; }
  void SleepFor(Duration /*duration*/) override {}

 private:
  Fault NextFault(const std::string& kind, const std::string& name) {
    if (faults_.empty()) return Fault::kNone;
    const Fault fault = faults_.front();
    faults_.pop_front();
    if (fault == Fault::kConcurrentWrite) {
      Set(kind, name, R"({"spec":{"state":"other"},"written_by":{"writer":"eva","nonce":"x"}})");
    }
    return fault;
  }

  Result<void> CheckVersion(const std::string& kind, const std::string& name, Version version) {
    const auto found = objects_.find({kind, name});
    if ((found == objects_.end() ? 0 : found->second.version_) == version) return {};
    conflict_ = found == objects_.end() ? coordination::PlatformObject{kind, name, 0, true, {}}
                                        : found->second;
    return Fail(ResultCode::kPlatformConflict, "conflict");
  }

  coordination::PlatformObject conflict_;
};

}  // namespace monsoonshelf::app
