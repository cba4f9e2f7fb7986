#ifndef INCLUDE_CTL_REQUEST_HISTORY_H_
#define INCLUDE_CTL_REQUEST_HISTORY_H_

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

#include "include/base/units.h"

namespace papaya {

// What the logs of routers say about one request: its own lines, joined over
// all routers, and what each of these routers came to believe shortly before.
// Takes the lines of any number of logs, in any order.
class RequestHistory {
 public:
  // `request` is the id as the caller knows it.
  explicit RequestHistory(std::string request);

  // A line of the log named `log`: JSON, after anything that a collector of
  // logs puts before it, whose last word then names the router in place of
  // `log`. Other lines are passed over.
  void AddLine(const std::string& log, const std::string& line);

  // True once a line of the request itself was added.
  bool IsFound() const { return !request_lines_.empty(); }

  // For people: each line of the request with its reason in words, then what
  // its router learnt before.
  std::string ToText() const;
  // The same lines as they were logged, for scripts.
  boost::json::object ToJson() const;

 private:
  struct Line {
    std::string router;
    // Since the epoch.
    Duration time{};
    std::string clock;
    boost::json::object fields;
  };

  // How many requests a router ended for one reason in one second.
  struct OutcomeGroup {
    int requests = 0;
    std::map<std::string, int> by_account;
  };

  // What `own`'s router came to believe before it ended, latest last.
  std::vector<const Line*> EventsBefore(const Line& request_line) const;
  const OutcomeGroup* FindGroup(const Line& request_line) const;
  std::string Describe(const Line& request_line) const;

  const std::string request_;
  std::vector<Line> request_lines_;
  // Lines that are about no request.
  std::vector<Line> router_events_;
  // By router, second and reason.
  std::map<std::string, OutcomeGroup> groups_;
};

}  // namespace papaya

#endif  // INCLUDE_CTL_REQUEST_HISTORY_H_
