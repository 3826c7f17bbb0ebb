// Checks that span several keys of a settings file.

#include "check.h"

#include <array>
#include <string>

namespace sassafras::settings {

namespace {

// An election must survive the loss of single heartbeats.
constexpr int kHeartbeatsPerElection = 3;

std::string Quoted(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

void CheckOwnEndpoints(const Settings& settings, Reader& reader) {
  if (settings.http.port != 0 && settings.http == settings.peer) {
    reader.Report(reader.PlaceOf("peer.port"),
                  "[peer] " + settings.peer.ToString() +
                      " clashes with [http], which has the same address");
  }
}

// Names and addresses of peers are unique, and none is this host's [http].
void CheckPeerClashes(const Settings& settings,
                      const std::vector<toml::source_position>& places,
                      Reader& reader) {
  const auto& peers = settings.cluster.peers;
  for (size_t i = 0; i < peers.size(); ++i) {
    for (size_t k = 0; k < i; ++k) {
      if (!peers[i].name.empty() && peers[i].name == peers[k].name) {
        reader.Report(places[i], "peer " + Quoted(peers[i].name.str()) +
                                     " is listed twice, first on line " +
                                     std::to_string(places[k].line));
      }
      if (peers[i].endpoint.port != 0 &&
          peers[i].endpoint == peers[k].endpoint) {
        reader.Report(places[i], "address " + peers[i].endpoint.ToString() +
                                     " of peer " + Quoted(peers[i].name.str()) +
                                     " clashes with peer " +
                                     Quoted(peers[k].name.str()));
      }
    }
    if (peers[i].endpoint.port != 0 && peers[i].endpoint == settings.http &&
        settings.http != settings.peer) {
      reader.Report(places[i], "address " + peers[i].endpoint.ToString() +
                                   " of peer " + Quoted(peers[i].name.str()) +
                                   " clashes with [http] of this process");
    }
  }
}

// The peer list holds this process, described as the rest of the file does.
void CheckOwnPeer(const Settings& settings,
                  const std::vector<toml::source_position>& places,
                  Reader& reader) {
  const auto& name = settings.process.name;
  const auto& peers = settings.cluster.peers;
  if (name.empty() || peers.empty()) {
    return;  // reported already
  }
  const auto it = std::ranges::find(peers, name, &Peer::name);
  if (it == peers.end()) {
    reader.Report(reader.PlaceOf("process.name"),
                  "missing peer: [[cluster.peers]] doesn't list this process " +
                      Quoted(name.str()));
    return;
  }
  const auto place = places[static_cast<size_t>(it - peers.begin())];
  if (it->endpoint != settings.peer && it->endpoint.port != 0 &&
      settings.peer.port != 0) {
    reader.Report(place, "peer " + Quoted(name.str()) + " has address " +
                             it->endpoint.ToString() + ", but [peer] says " +
                             settings.peer.ToString());
  }
  if (it->zone != settings.process.zone && !it->zone.empty() &&
      !settings.process.zone.empty()) {
    reader.Report(place, "peer " + Quoted(name.str()) + " is in zone " +
                             Quoted(it->zone.str()) + ", but [process] says " +
                             Quoted(settings.process.zone.str()));
  }
}

// `low` times `factor` must be at most `high`.
struct TimeOrder {
  std::string_view low_key;
  std::string_view high_key;
  base::Duration low;
  base::Duration high;
  int factor;
};

void CheckTimeOrder(const Settings& settings, Reader& reader) {
  const auto& timing = settings.timing;
  const auto& limits = settings.limits;
  const std::array<TimeOrder, 3> orders = {{
      {"timing.heartbeat_ms", "timing.election_timeout_ms", timing.heartbeat,
       timing.election_timeout, kHeartbeatsPerElection},
      {"timing.election_timeout_ms", "timing.session_ms",
       timing.election_timeout, timing.session, 1},
      {"limits.default_request_timeout_ms", "limits.max_request_timeout_ms",
       limits.default_request_timeout, limits.max_request_timeout, 1},
  }};
  for (const auto& order : orders) {
    if (order.low * order.factor <= order.high) {
      continue;
    }
    auto place = reader.PlaceOf(std::string(order.low_key));
    if (!place) {
      place = reader.PlaceOf(std::string(order.high_key));
    }
    const std::string share =
        order.factor == 1 ? "" : "1/" + std::to_string(order.factor) + " of ";
    reader.Report(place, Quoted(order.low_key) + " must be at most " + share +
                             Quoted(order.high_key));
  }
}

}  // namespace

void CheckAcrossKeys(const Settings& settings,
                     const std::vector<toml::source_position>& peer_places,
                     Reader& reader) {
  CheckOwnEndpoints(settings, reader);
  CheckPeerClashes(settings, peer_places, reader);
  CheckOwnPeer(settings, peer_places, reader);
  CheckTimeOrder(settings, reader);
}

}  // namespace sassafras::settings
