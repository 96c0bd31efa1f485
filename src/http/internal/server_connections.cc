#include <limits>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "http/server_connection.h"

namespace monsoonshelf::http {

ServerConnections::ServerConnections(IServerHandler& handler,
                                     std::shared_ptr<MemoryAccount> account)
    : handler_(handler), account_(std::move(account)) {
  if (account_ == nullptr) {
    account_ = std::make_shared<MemoryAccount>(std::numeric_limits<std::size_t>::max());
  }
  account_->AddListener(*this);
}

ServerConnections::~ServerConnections() {
  const auto connections = std::move(connections_);
  connections_.clear();
  for (const auto& connection : connections) connection->Abort();
  account_->RemoveListener(*this);
}

bool ServerConnections::MakeRoom() {
  if (max_connections_ == 0 || connections_.size() < max_connections_) return true;
  const Time now = Now();
  const std::vector<ServerConnectionPtr> all(connections_.begin(), connections_.end());
  std::vector<ConnectionLoad> loads;
  loads.reserve(all.size());
  for (const auto& connection : all) loads.push_back(connection->Load(now));
  const auto chosen = ChooseConnectionToReplace(loads);
  if (!chosen || !all[*chosen]->Replace()) return false;
  ++replaced_count_;
  return connections_.size() < max_connections_;
}

void ServerConnections::Accept(int descriptor) {
  connections_.insert(std::make_shared<ServerConnection>(descriptor, *this));
}

void ServerConnections::CheckTimeouts(Time now) {
  const std::vector<ServerConnectionPtr> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) {
    if (connection->IsOpen()) connection->CheckTimeouts(now);
  }
}

void ServerConnections::CloseIdle() {
  const std::vector<ServerConnectionPtr> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) {
    if (connection->IsOpen()) connection->CloseIfIdle();
  }
}

ConnectionCounts ServerConnections::CountByState() const {
  ConnectionCounts counts;
  counts.open_ = connections_.size();
  for (const auto& connection : connections_) {
    if (connection->IsReading()) ++counts.reading_;
    if (connection->IsBusy()) ++counts.busy_;
    if (connection->IsClosing()) ++counts.closing_;
    counts.unsent_bytes_ += connection->UnsentBytes();
  }
  return counts;
}

}  // namespace monsoonshelf::http
