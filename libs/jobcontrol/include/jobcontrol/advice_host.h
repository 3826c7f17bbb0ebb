// Lets the leader ask the placement service through this host.

#ifndef JOBCONTROL_ADVICE_HOST_H_
#define JOBCONTROL_ADVICE_HOST_H_

#include <boost/asio/any_io_executor.hpp>

#include "cluster/peers.h"
#include "jobcontrol/worker_link.h"

namespace sassafras::jobcontrol {

// Answers kAdviseMethod on `executor`, where `workers` is used. Before the
// service starts; `workers` must outlive it.
void ServeAdvice(cluster::PeerService& peer_service,
                 const boost::asio::any_io_executor& executor,
                 WorkerLink& workers);

}  // namespace sassafras::jobcontrol

#endif  // JOBCONTROL_ADVICE_HOST_H_
