#include "app/internal/platform_store.h"

#include <thread>

#include "store/platform_client.h"

namespace monsoonshelf::app {

namespace {

// A command causes only a few calls; these limits stop an unbounded retry loop.
constexpr double kCallsPerSecond = 50;
constexpr double kCallBurst = 100;

class PlatformStore : public IRecordStore {
 public:
  explicit PlatformStore(std::unique_ptr<store::SyncClient> client) : client_(std::move(client)) {}

  Result<coordination::PlatformObject> Get(const std::string& kind,
                                           const std::string& name) override {
    return client_->Get(kind, name);
  }
  Result<coordination::PlatformObject> Put(const std::string& kind, const std::string& name,
                                           Version version, const std::string& body) override {
    return client_->Put(kind, name, version, body);
  }
  Result<void> Delete(const std::string& kind, const std::string& name, Version version) override {
    return client_->Delete(kind, name, version);
  }
  Result<Listing> List(const std::vector<std::string>& kinds) override {
    BOOST_LEAF_AUTO(listing, client_->List(kinds));
    return Listing{std::move(listing.objects_), listing.version_};
  }
  Result<Listing> Watch(const std::vector<std::string>& kinds, Version after,
                        Duration max_wait) override {
    BOOST_LEAF_AUTO(listing, client_->Watch(kinds, after, max_wait));
    return Listing{std::move(listing.objects_), listing.version_};
  }
  coordination::PlatformObject LastConflict() const override { return client_->LastConflict(); }
  void SleepFor(Duration duration) override { std::this_thread::sleep_for(duration); }

 private:
  std::unique_ptr<store::SyncClient> client_;
};

}  // namespace

Result<std::unique_ptr<IRecordStore>> MakePlatformStore(const std::string& address,
                                                        Duration timeout) {
  BOOST_LEAF_AUTO(client, store::SyncClient::Make({address, kCallsPerSecond, kCallBurst}, timeout));
  return std::unique_ptr<IRecordStore>(std::make_unique<PlatformStore>(std::move(client)));
}

}  // namespace monsoonshelf::app
