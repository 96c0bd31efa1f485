#include "control/control_setup.h"

#include <random>
#include <utility>

#include "base/clock.h"
#include "peer/peer_setup.h"
#include "store/platform_client.h"

namespace monsoonshelf::control {

namespace {

std::uint64_t MakeRandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace

Result<std::unique_ptr<ControlTask>> StartControl(ControlSettings settings,
                                                  ControlCallbacks callbacks) {
  auto& node = settings.node_;
  // The wall clock gives each process a higher incarnation than the one before, because a restart
  // takes longer than a microsecond.
  if (node.incarnation_ == 0) node.incarnation_ = static_cast<Incarnation>(WallMicroseconds());
  const peer::TransportSettings transport{node.name_,
                                          node.incarnation_,
                                          node.peer_address_,
                                          settings.keys_,
                                          settings.max_outgoing_sockets_,
                                          settings.allowed_networks_};
  ControlFactories factories;
  factories.platform_client_ = [platform = settings.platform_] {
    return store::MakePlatformClient(platform);
  };
  factories.peer_transport_ = [transport] { return peer::MakeTransport(transport); };
  auto task = std::make_unique<ControlTask>(
      node, settings.random_seed_ != 0 ? settings.random_seed_ : MakeRandomSeed(),
      std::move(factories), std::move(callbacks));
  BOOST_LEAF_CHECK(task->Start());
  return task;
}

}  // namespace monsoonshelf::control
