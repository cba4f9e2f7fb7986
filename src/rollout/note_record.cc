#include "include/rollout/note_record.h"

#include <boost/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/config/fleet_config_json.h"

namespace papaya {

namespace {

namespace json = boost::json;

template <typename Id>
json::array WriteIds(const std::vector<Id>& ids) {
  json::array array;
  for (const Id& id : ids) {
    array.emplace_back(id.value());
  }
  return array;
}

template <typename Id>
std::vector<Id> ReadIds(const json::value& value) {
  std::vector<Id> ids;
  for (const json::value& id : value.as_array()) {
    ids.emplace_back(std::string(id.as_string()));
  }
  return ids;
}

json::array WriteTexts(const std::vector<std::string>& texts) {
  json::array array;
  for (const std::string& text : texts) {
    array.emplace_back(text);
  }
  return array;
}

std::string ReadText(const json::object& object, const char* key) {
  return std::string(object.at(key).as_string());
}

int64_t ToMilliseconds(WallTime time) {
  return time.time_since_epoch().count();
}

WallTime ReadTime(const json::object& object, const char* key) {
  return WallTime(
      std::chrono::milliseconds(object.at(key).to_number<int64_t>()));
}

// Upstreams and shares are stored in the format of a fleet configuration.
json::object RollbackStateToJson(const RollbackState& before) {
  FleetConfig config;
  config.revision = Revision(1);
  config.upstreams = before.upstreams;
  config.shares = before.shares;
  json::array roles;
  for (const EngineRole& role : before.roles) {
    roles.push_back(
        json::object{{"upstream", role.upstream.value()}, {"role", role.role}});
  }
  return {{"config", FleetConfigToJson(config)},
          {"roles", std::move(roles)},
          {"added", WriteIds(before.added)},
          {"pools", WriteIds(before.pools)}};
}

absl::StatusOr<RollbackState> ParseRollbackState(const json::object& object) {
  absl::StatusOr<FleetConfig> config =
      ParseFleetConfigJson(ReadText(object, "config"));
  if (!config.ok()) {
    return config.status();
  }
  RollbackState before;
  before.upstreams = std::move(config->upstreams);
  before.shares = std::move(config->shares);
  before.added = ReadIds<UpstreamId>(object.at("added"));
  before.pools = ReadIds<PoolId>(object.at("pools"));
  for (const json::value& role : object.at("roles").as_array()) {
    before.roles.push_back({UpstreamId(ReadText(role.as_object(), "upstream")),
                            ReadText(role.as_object(), "role")});
  }
  return before;
}

absl::StatusOr<NoteRecord> ReadRecord(const json::object& object) {
  NoteRecord record;
  record.id = NoteId(ReadText(object, "id"));
  record.author = ReadText(object, "author");
  record.last_operation = OperationId(ReadText(object, "wish"));
  record.text = ReadText(object, "text");
  record.text_revision = object.at("text_revision").to_number<int>();
  record.submitted = ReadTime(object, "submitted");
  record.state = ReadText(object, "state");
  record.reason = ReadText(object, "reason");
  record.stage = object.at("stage").to_number<int>();
  record.share = Permille(object.at("share").to_number<int32_t>());
  for (const json::value& version : object.at("stage_versions").as_array()) {
    record.stage_versions.emplace_back(version.as_string());
  }
  record.stage_since = ReadTime(object, "stage_since");
  record.began = ReadTime(object, "began");
  record.ended = ReadTime(object, "ended");
  record.ejected = ReadIds<UpstreamId>(object.at("set_aside"));
  absl::StatusOr<RollbackState> before =
      ParseRollbackState(object.at("before").as_object());
  if (!before.ok()) {
    return before.status();
  }
  record.before = *std::move(before);
  return record;
}

}  // namespace

std::string FormatNoteRecord(const NoteRecord& record) {
  return json::serialize(
      json::object{{"id", record.id.value()},
                   {"author", record.author},
                   {"wish", record.last_operation.value()},
                   {"text", record.text},
                   {"text_revision", record.text_revision},
                   {"submitted", ToMilliseconds(record.submitted)},
                   {"state", record.state},
                   {"reason", record.reason},
                   {"stage", record.stage},
                   {"share", record.share.value()},
                   {"stage_versions", WriteTexts(record.stage_versions)},
                   {"stage_since", ToMilliseconds(record.stage_since)},
                   {"began", ToMilliseconds(record.began)},
                   {"ended", ToMilliseconds(record.ended)},
                   {"set_aside", WriteIds(record.ejected)},
                   {"before", RollbackStateToJson(record.before)}});
}

absl::StatusOr<NoteRecord> ParseNoteRecord(const std::string& text) {
  try {
    return ReadRecord(json::parse(text).as_object());
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument, {"note.parse", ""},
                     absl::StrCat("invalid note record: ", error.what()));
  }
}

bool IsFinalNoteState(const std::string& state) {
  return state == kNoteDone || state == kNoteRolledBack;
}

}  // namespace papaya
