#ifndef INCLUDE_ONCE_STORED_ANSWER_H_
#define INCLUDE_ONCE_STORED_ANSWER_H_

#include <string>

namespace papaya {

// An upstream's response, kept to be sent again when the caller retries.
struct StoredAnswer {
  // HTTP status; 0 if the response was not kept.
  int status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const StoredAnswer&) const = default;
};

}  // namespace papaya

#endif  // INCLUDE_ONCE_STORED_ANSWER_H_
