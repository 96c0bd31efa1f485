#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "coordination/coordination_types.h"

namespace monsoonshelf::peer::detail {

// Name of the type of a body, as in the envelope.
std::string TypeOf(const coordination::PeerBody& body);

nlohmann::json EncodeBody(const coordination::PeerBody& body);

bool IsKnownType(const std::string& type);

// Nothing if a field is missing, has the wrong type or is out of range. Unknown fields are ignored.
std::optional<coordination::PeerBody> DecodeBody(const std::string& type,
                                                 const nlohmann::json& value);

}  // namespace monsoonshelf::peer::detail
