#!/usr/bin/env bash
# Installs the Debian packages that the build needs. Does nothing if all of them are installed.
set -euo pipefail
packages=(
  g++ cmake ninja-build pkg-config ccache clang-format clang-tidy curl
  libglib2.0-dev libnng-dev prometheus-cpp-dev libsoup-3.0-dev
  libboost1.81-dev libboost-program-options1.81-dev liblog4cplus-dev libcppunit-dev
  libtomlplusplus-dev nlohmann-json3-dev zlib1g-dev liblua5.4-dev libxxhash-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
  [ "$status" = installed ] || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then exit 0; fi
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# All packages are installed in one call, so that apt resolves the Boost versions together.
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
