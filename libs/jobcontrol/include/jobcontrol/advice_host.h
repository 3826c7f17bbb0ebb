// Forwards the leader's placement queries through this host.

#ifndef JOBCONTROL_ADVICE_HOST_H_
#define JOBCONTROL_ADVICE_HOST_H_

#include <boost/asio/any_io_executor.hpp>

#include "cluster/peers.h"
#include "jobcontrol/worker_link.h"

namespace sassafras::jobcontrol {

// Registers a handler for kAdviseMethod that runs on `executor` and uses
// `workers` there. Must be called before `peer_service` starts; `workers` must
// outlive `peer_service`.
void ServeAdvice(cluster::PeerService& peer_service,
                 const boost::asio::any_io_executor& executor,
                 WorkerLink& workers);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_ADVICE_HOST_H_
