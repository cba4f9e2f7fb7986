#ifndef SRC_DAEMON_NOTE_JSON_H_
#define SRC_DAEMON_NOTE_JSON_H_

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "include/base/ini_document.h"
#include "include/rollout/note_record.h"

namespace papaya {

// `note` as the operators' API returns it, without its text.
boost::json::object NoteToJson(const StoredNote& note);

// Like NoteToJson, with the text of the note.
boost::json::object NoteWithTextToJson(const StoredNote& note);

// `{"faults":[{"line":n,"message":"…"}]}`.
std::string FaultsToJson(const std::vector<TextFault>& faults);

}  // namespace papaya

#endif  // SRC_DAEMON_NOTE_JSON_H_
