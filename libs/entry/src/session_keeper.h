// Keeps an entry's session with the control leader: renews it, takes in the
// document, and begins a new incarnation when the cluster ended the old one.

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

// Used on the entry's strand, except for document().
class SessionKeeper : public std::enable_shared_from_this<SessionKeeper> {
 public:
  struct Callbacks {
    std::function<wire::EntryRenewal()> build_renewal;
    std::function<void(const wire::EntryAnswer&, base::Instant sent_at)>
        on_answer;
    std::function<void(const document::Document&)> on_document;
    std::function<void()> on_ended;
  };

  SessionKeeper(const settings::Settings& settings,
                const boost::asio::any_io_executor& strand,
                cluster::Client& client,
                Callbacks callbacks);

  void Start();
  void Stop();

  // Thread-safe; null before the first document came.
  std::shared_ptr<const document::Document> document() const {
    return document_.load();
  }

 private:
  void Renew();
  void OnReply(const wire::ControlReply& reply, base::Instant sent_at);
  void TakeDocument(const nlohmann::json& body);
  void RenewLater();

  const base::Duration period_;
  const base::Duration call_limit_;
  boost::asio::any_io_executor strand_;
  cluster::Client& client_;
  Callbacks callbacks_;
  boost::asio::steady_timer timer_;
  // Invariant: its version never goes back.
  std::atomic<std::shared_ptr<const document::Document>> document_;
  bool is_stopped_ = false;
};

}  // namespace sassafras::entry

#endif  // ENTRY_SRC_SESSION_KEEPER_H_
