#ifndef SRC_DAEMON_NOTE_PAGES_H_
#define SRC_DAEMON_NOTE_PAGES_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "include/config/fleet_config.h"
#include "include/rollout/release_note.h"
#include "include/rollout/release_note_store.h"
#include "include/wire/http_message.h"

namespace papaya {

// Serves the operators' release note API, `/v1/notes` and the paths below it,
// as specified in docs/PROTOCOLS.md. Runs on the control thread.
class NotePages {
 public:
  // Returns the configuration in force; null if there is none.
  using ConfigHook = std::function<std::shared_ptr<const FleetConfig>()>;

  // `note_store` must outlive this object and all requests in progress, and
  // must have been created with the same `min_judged_move`.
  NotePages(ReleaseNoteStore* note_store,
            ConfigHook config,
            Duration min_judged_move = kMinJudgedMove);

  // Handles a request whose path starts with `/v1/notes`.
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  HttpResponse Check(const std::string& text) const;
  boost::asio::awaitable<HttpResponse> List();
  boost::asio::awaitable<HttpResponse> Show(NoteId id);
  boost::asio::awaitable<HttpResponse> Change(HttpRequest request, NoteId id);

  ReleaseNoteStore& note_store_;
  const ConfigHook get_config_;
  const Duration min_judged_move_;
};

}  // namespace papaya

#endif  // SRC_DAEMON_NOTE_PAGES_H_
