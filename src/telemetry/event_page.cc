#include "include/telemetry/event_page.h"

#include "absl/strings/str_cat.h"
#include "include/telemetry/event_catalog.h"

namespace papaya {

namespace {

constexpr char kHead[] =
    "# Log events\n"
    "\n"
    "Each log line is a JSON object with the event's number in `event` and its "
    "name in\n"
    "`name`. A number never changes its meaning. This page is the output of\n"
    "`papayad --list_events`; a test compares the two.\n"
    "\n"
    "| number | name | severity | meaning |\n"
    "|---|---|---|---|\n";

}  // namespace

std::string RenderEventPage() {
  std::string page = kHead;
  for (const EventInfo& info : EventCatalog()) {
    absl::StrAppend(&page, "| ", static_cast<int>(info.id), " | `", info.name,
                    "` | ", SeverityName(info.severity), " | ", info.meaning,
                    " |\n");
  }
  return page;
}

}  // namespace papaya
