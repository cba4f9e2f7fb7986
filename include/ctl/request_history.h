#ifndef INCLUDE_CTL_REQUEST_HISTORY_H_
#define INCLUDE_CTL_REQUEST_HISTORY_H_

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// Collects what the logs of routers contain about one request: the lines of the
// request from all routers and, for each of these routers, the events that it
// logged shortly before. Lines of any number of logs may be added in any order.
class RequestHistory {
 public:
  // `request` is the request id that the caller received.
  explicit RequestHistory(std::string request);

  // Adds a line of the log named `log`. The line is a JSON object, optionally
  // after a prefix of a log collector; the last word of the prefix then names
  // the router instead of `log`. Lines without a JSON object are ignored.
  void AddLine(const std::string& log, const std::string& line);

  // Returns true if a line of the request was added.
  bool IsFound() const { return !request_lines_.empty(); }

  // Returns a readable text: each line of the request with its reason in words,
  // followed by the events that its router logged before.
  std::string ToText() const;
  // Returns the same lines as they were logged.
  boost::json::object ToJson() const;

 private:
  struct Line {
    std::string router;
    // Time since the Unix epoch, parsed from `clock`.
    Duration time{};
    std::string clock;
    boost::json::object fields;
  };

  // The logged requests that a router ended for one reason within one second.
  struct OutcomeGroup {
    int requests = 0;
    std::map<std::string, int> by_account;
  };

  // Returns the latest events that the router of `request_line` logged before
  // that line, oldest first.
  std::vector<const Line*> EventsBefore(const Line& request_line) const;
  const OutcomeGroup* FindGroup(const Line& request_line) const;
  std::string Describe(const Line& request_line) const;

  const std::string request_;
  std::vector<Line> request_lines_;
  // Lines that do not belong to a request.
  std::vector<Line> router_events_;
  // Keyed by router, second and reason.
  std::map<std::string, OutcomeGroup> groups_;
};

}  // namespace papaya

#endif  // INCLUDE_CTL_REQUEST_HISTORY_H_
