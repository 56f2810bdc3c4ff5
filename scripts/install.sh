# Installs the missing packages among those of scripts/packages.txt. Sourced by other scripts.
missing=$(comm -23 <(sort scripts/packages.txt) \
    <(dpkg-query -W -f '${db:Status-Abbrev} ${Package}\n' | awk '$1 == "ii" {print $2}' | sort -u))
if [ -n "$missing" ]; then
    apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing > /dev/null
fi
