#include "platform/batch_codec.h"

#include <rapidcheck.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/json_splitter.h"
#include "platform/object_codec.h"

namespace papaya::platform {
namespace {

std::string MakeItem(const std::string& name, const std::string& spec) {
  return absl::StrCat(R"({"metadata":{"name":")", name,
                      R"(","revision":7},"spec":)", spec, "}");
}

std::string MakeSpec(const std::string& address, const std::string& slots) {
  return absl::StrCat(R"({"service":"s","address":")", address,
                      R"(","zone":"z","version":"v","state":"ready","born":1,)",
                      R"("slots":)", slots, "}");
}

std::string MakeList(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    absl::StrAppend(&text, text.empty() ? "" : ",", item);
  }
  return absl::StrCat(R"({"items":[)", text,
                      R"(],"has_more":false,"store_revision":9})");
}

std::string Nest(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Entries that another writer may leave in the store.
std::vector<std::string> OddSpecs() {
  return {Nest(100),
          Nest(400'000),
          absl::StrCat(R"({"service":)", Nest(50'000), "}"),
          "1e999",
          "-1e999999999",
          "123456789012345678901234567890",
          "null",
          "true",
          "\"text\"",
          "\"\xff\xfe\"",
          "{}",
          MakeSpec("10.0.0.1:80", "1e999"),
          MakeSpec("10.0.0.1:80", "99999999999999999999999"),
          MakeSpec("10.0.0.1:80", "9223372036854775807"),
          MakeSpec("10.0.0.1:80", "4294967297"),
          MakeSpec("10.0.0.1:80", "-1"),
          MakeSpec("10.0.0.1:80", "1.5"),
          MakeSpec("10.0.0.1:0", "1"),
          MakeSpec("10.0.0.1:65536", "1"),
          MakeSpec("10.0.0.1:99999999999", "1"),
          MakeSpec("10.0.0.1:-1", "1"),
          MakeSpec("10.0.0.1", "1"),
          MakeSpec("0.0.0.0:80", "1"),
          MakeSpec("host:80", "1"),
          MakeSpec(std::string(1'000'000, 'x'), "1")};
}

TEST_CASE("Platform: an odd entry does not hide the others", "[platform]") {
  const std::string sound = MakeItem("good", MakeSpec("10.0.0.9:80", "2"));
  for (const std::string& spec : OddSpecs()) {
    CAPTURE(spec.substr(0, 100));
    const absl::StatusOr<ObjectBatch> batch =
        DecodeBatch(MakeList({MakeItem("odd", spec), sound}), "list");
    REQUIRE(batch.ok());
    CHECK(batch->store_version == ObjectVersion(9));
    REQUIRE(batch->objects.size() == 2);
    // The name remains, so that a known upstream of that name is taken out.
    CHECK(batch->objects[0].name == "odd");
    CHECK_FALSE(DecodeUpstream(batch->objects[0]).ok());
    CHECK(batch->objects[1].version == ObjectVersion(7));
    CHECK(DecodeUpstream(batch->objects[1]).ok());
  }
}

TEST_CASE("Platform: counts entries without a readable name", "[platform]") {
  const std::string sound = MakeItem("good", "{}");
  for (const std::string& item :
       {std::string("5"), std::string("{}"), Nest(400'000),
        std::string(R"({"metadata":5,"spec":{}})"),
        std::string(R"({"metadata":{"name":5},"spec":{}})"),
        std::string(R"({"metadata":{"name":1e999},"spec":{}})")}) {
    const absl::StatusOr<ObjectBatch> batch =
        DecodeBatch(MakeList({item, sound}), "list");
    REQUIRE(batch.ok());
    CHECK(batch->unreadable == 1);
    CHECK(batch->objects.size() == 1);
  }
}

TEST_CASE("Platform: reads the events of a watch one by one", "[platform]") {
  const absl::StatusOr<ObjectBatch> batch = DecodeBatch(
      absl::StrCat(R"({ "events" : [ {"object":)", MakeItem("a", Nest(100)),
                   R"(,"deleted":false}, {"object":)", MakeItem("b", "{}"),
                   R"(, "deleted" : true }, {"deleted":true} ],)",
                   R"( "store_revision" : 12 })"),
      "watch");
  REQUIRE(batch.ok());
  REQUIRE(batch->objects.size() == 2);
  CHECK_FALSE(batch->objects[0].is_deleted);
  CHECK(batch->objects[0].spec.is_null());
  CHECK(batch->objects[1].is_deleted);
  CHECK(batch->unreadable == 1);
  CHECK(batch->store_version == ObjectVersion(12));
}

TEST_CASE("Platform: refuses a batch whose frame can't be read", "[platform]") {
  for (const char* body :
       {"", "null", "[]", "{", R"({"items":[]})", R"({"items":5,)",
        R"({"items":[],"store_revision":"x"})",
        R"({"items":[{]},"store_revision":1})",
        R"({"items":{},"store_revision":1})",
        R"({"items":[1 2],"store_revision":1} tail)"}) {
    CHECK_FALSE(DecodeBatch(body, "list").ok());
  }
}

// Builds a JSON value of bounded depth from random numbers.
boost::json::value MakeValue(int depth) {
  const int kind = *rc::gen::inRange(0, depth > 0 ? 6 : 4);
  switch (kind) {
    case 0:
      return nullptr;
    case 1:
      return *rc::gen::arbitrary<int64_t>();
    case 2:
      return *rc::gen::arbitrary<bool>();
    case 3:
      return boost::json::string(*rc::gen::container<std::string>(
          rc::gen::elementOf(std::string("ab\"\\[]{},: \n\t"))));
    case 4: {
      boost::json::array array;
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        array.push_back(MakeValue(depth - 1));
      }
      return array;
    }
    default: {
      boost::json::object object;
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        object[absl::StrCat("k", i)] = MakeValue(depth - 1);
      }
      return object;
    }
  }
}

TEST_CASE("SplitJson: parts are those of the parser", "[platform]") {
  CHECK(rc::check([] {
    const boost::json::value value = MakeValue(4);
    const std::string text = boost::json::serialize(value);
    const auto members = SplitJsonObject(text);
    const auto elements = SplitJsonArray(text);
    RC_ASSERT(members.has_value() == value.is_object());
    RC_ASSERT(elements.has_value() == value.is_array());
    if (members.has_value()) {
      RC_ASSERT(members->size() == value.as_object().size());
      for (const auto& [key, part] : *members) {
        RC_ASSERT(boost::json::parse({part.data(), part.size()}) ==
                  value.as_object().at({key.data(), key.size()}));
      }
    }
    if (elements.has_value()) {
      RC_ASSERT(elements->size() == value.as_array().size());
      for (size_t i = 0; i < elements->size(); ++i) {
        const std::string_view part = (*elements)[i];
        RC_ASSERT(boost::json::parse({part.data(), part.size()}) ==
                  value.as_array().at(i));
      }
    }
  }));
}

TEST_CASE("Platform: no text of a batch ends the process", "[platform]") {
  const std::string seed = MakeList(
      {MakeItem("a", MakeSpec("10.0.0.1:80", "1")), MakeItem("b", "[{}]")});
  CHECK(rc::check([&seed] {
    std::string text = seed;
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
      const size_t at = *rc::gen::inRange<size_t>(0, text.size());
      text[at] = *rc::gen::elementOf(std::string("[]{}\",:\\0e-\xff\x01 "));
    }
    const absl::StatusOr<ObjectBatch> batch = DecodeBatch(text, "list");
    if (batch.ok()) {
      for (const PlatformObject& object : batch->objects) {
        (void)DecodeUpstream(object);
        (void)DecodeManifest(object);
        (void)DecodeMove(object);
      }
    }
  }));
}

}  // namespace
}  // namespace papaya::platform
