// Maintains an entry's session with the control leader: renews it, applies new
// versions of the document, and reports when the cluster has ended the entry's
// incarnation.

#ifndef ENTRY_SRC_SESSION_KEEPER_H_
#define ENTRY_SRC_SESSION_KEEPER_H_

#include <atomic>
#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "cluster/client.h"
#include "document/document.h"
#include "settings/settings.h"
#include "wire/routing.h"

namespace sassafras::entry {

// Must be used on the entry's strand, except for document().
class SessionKeeper : public std::enable_shared_from_this<SessionKeeper> {
 public:
  // All are called on the strand, and none after Stop().
  struct Callbacks {
    // Builds the renewal to send next.
    std::function<wire::EntryRenewal()> build_renewal;
    // The leader answered the renewal that was sent at `sent_at`.
    std::function<void(const wire::EntryAnswer&, base::Instant sent_at)>
        on_answer;
    // A newer version of the document came into force.
    std::function<void(const document::Document&)> on_document;
    // The cluster has ended this incarnation; the entry must begin a new one.
    std::function<void()> on_incarnation_ended;
  };

  SessionKeeper(const settings::Settings& settings,
                const boost::asio::any_io_executor& strand,
                cluster::Client& client,
                Callbacks callbacks);

  void Start();
  void Stop();

  // Returns null until a document was received or the leader reported that the
  // cluster has none, in which case it is empty. Thread-safe.
  std::shared_ptr<const document::Document> document() const {
    return document_.load();
  }

 private:
  void Renew();
  void OnReply(const wire::ControlReply& reply, base::Instant sent_at);
  void UpdateDocument(const nlohmann::json& body);
  void ScheduleRenewal();

  const base::Duration renewal_delay_;  // from a reply to the next renewal
  const base::Duration call_timeout_;   // of one renewal
  boost::asio::any_io_executor strand_;
  cluster::Client& client_;
  Callbacks callbacks_;
  boost::asio::steady_timer timer_;
  // Invariant: its version never decreases.
  std::atomic<std::shared_ptr<const document::Document>> document_;
  bool is_stopped_ = false;
};

}  // namespace sassafras::entry

#endif  // ENTRY_SRC_SESSION_KEEPER_H_
