#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "coordination/coordination_types.h"

namespace monsoonshelf::peer::detail {

// Returns the type name that the envelope carries for a body.
std::string BodyTypeName(const coordination::PeerBody& body);

// Encodes a body with the short field names of the wire format.
nlohmann::json EncodeBody(const coordination::PeerBody& body);

bool IsKnownType(const std::string& type);

// Returns std::nullopt if `type` is unknown, or if a field is missing, has the wrong type or is out
// of range. Unknown fields are ignored.
std::optional<coordination::PeerBody> DecodeBody(const std::string& type,
                                                 const nlohmann::json& value);

}  // namespace monsoonshelf::peer::detail
