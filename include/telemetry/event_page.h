#ifndef INCLUDE_TELEMETRY_EVENT_PAGE_H_
#define INCLUDE_TELEMETRY_EVENT_PAGE_H_

#include <string>

namespace papaya {

// The event catalogue as the Markdown page docs/EVENTS.md, which must be equal
// to it.
std::string RenderEventPage();

}  // namespace papaya

#endif  // INCLUDE_TELEMETRY_EVENT_PAGE_H_
