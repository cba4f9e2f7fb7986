#include "src/daemon/ticket_json.h"

#include <boost/json.hpp>
#include <chrono>
#include <optional>

#include "include/base/json_object.h"

namespace papaya {

namespace {

namespace json = boost::json;

}  // namespace

int ParseTicketCount(const std::string& body) {
  const std::optional<json::object> object = ParseJsonObject(body);
  if (!object.has_value()) {
    return 0;
  }
  const json::value* count = object->if_contains("count");
  if (count == nullptr) {
    return 0;
  }
  json::error_code number_error;
  const int number = count->to_number<int>(number_error);
  return number_error ? 0 : number;
}

std::string FormatTickets(const std::vector<std::string>& tickets,
                          Duration lifetime) {
  json::array texts;
  for (const std::string& ticket : tickets) {
    texts.emplace_back(ticket);
  }
  const int64_t lifetime_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(lifetime).count();
  return json::serialize(
      json::object{{"tickets", texts}, {"expires_in_ms", lifetime_ms}});
}

}  // namespace papaya
