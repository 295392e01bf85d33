#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing if all are installed.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done < scripts/packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0
echo "install_packages: installing ${missing[*]}"
sudo_command=()
[ "$(id -u)" -eq 0 ] || sudo_command=(sudo)
"${sudo_command[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${sudo_command[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
