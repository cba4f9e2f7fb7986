#include "src/daemon/note_json.h"

#include <boost/json.hpp>

#include "include/rollout/release_note.h"

namespace papaya {

namespace {

namespace json = boost::json;

}  // namespace

json::object NoteToJson(const StoredNote& note) {
  const NoteRecord& record = note.record;
  std::vector<TextFault> ignored;
  json::array ejected;
  for (const UpstreamId& upstream : record.ejected) {
    ejected.emplace_back(upstream.value());
  }
  return {{"id", record.id.value()},
          {"state", record.state},
          {"stage", record.stage},
          {"share_permille", record.share.value()},
          {"version", note.version.value()},
          {"author", record.author},
          {"text_revision", record.text_revision},
          {"set_aside", ejected},
          {"summary", ReleaseNote::Parse(record.text, &ignored).summary},
          {"reason", record.reason}};
}

json::object NoteWithTextToJson(const StoredNote& note) {
  json::object object = NoteToJson(note);
  object["text"] = note.record.text;
  return object;
}

std::string FaultsToJson(const std::vector<TextFault>& faults) {
  json::array listed;
  for (const TextFault& fault : faults) {
    listed.push_back(
        json::object{{"line", fault.line}, {"message", fault.message}});
  }
  return json::serialize(json::object{{"faults", listed}});
}

}  // namespace papaya
