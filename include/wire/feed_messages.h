#ifndef INCLUDE_WIRE_FEED_MESSAGES_H_
#define INCLUDE_WIRE_FEED_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "include/base/ids.h"
#include "include/base/units.h"

namespace papaya {

// Asks the receiver to pass on what it reads from the platform's store. Has to
// be repeated every few seconds.
struct FeedRequest {
  // What the sender knows of one kind.
  struct KindVersion {
    std::string kind;
    ObjectVersion version;
    // The sender lacks changes after `version` and asks for them.
    bool is_behind = false;

    bool operator==(const KindVersion&) const = default;
  };

  std::vector<KindVersion> kinds;
  // Changes that are long are to be sent without a further request. A router
  // asks one of its sources for them.
  bool wants_long_changes = true;

  bool operator==(const FeedRequest&) const = default;
};

// What a router knows of the objects of one kind in the platform's store.
struct KindFeed {
  std::string kind;
  // `changes` holds the changes after version `from` up to version `to`. Both
  // are the version of the sender if there are none. `from` is 0 if `changes`
  // holds all objects of the kind at version `to`.
  ObjectVersion from;
  ObjectVersion to;
  // Time since the store confirmed `to`, in milliseconds.
  Duration age{};
  // Time since the store became available again to the sender, if that was
  // lately.
  std::optional<Duration> recovery_age;
  // The changed objects in order, in the text format of the gateway.
  std::string changes;
  // `changes` is compressed.
  bool is_packed = false;

  bool operator==(const KindFeed&) const = default;
};

// Passes on what the sender has read. Kinds without changes are included now
// and then, to show that they are unchanged.
struct FeedUpdate {
  std::vector<KindFeed> kinds;

  bool operator==(const FeedUpdate&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_WIRE_FEED_MESSAGES_H_
