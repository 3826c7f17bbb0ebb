// Checks that span several keys of a settings file.

#ifndef SETTINGS_CHECK_H_
#define SETTINGS_CHECK_H_

#include <vector>

#include "reader.h"
#include "settings/settings.h"

namespace sassafras::settings {

// Reports clashing names and addresses, a process that its own peer list
// lacks or describes otherwise, and times in the wrong order. `peer_places`
// runs parallel to `settings.cluster.peers`.
void CheckAcrossKeys(const Settings& settings,
                     const std::vector<toml::source_position>& peer_places,
                     Reader& reader);

}  // namespace sassafras::settings

#endif  // SETTINGS_CHECK_H_
