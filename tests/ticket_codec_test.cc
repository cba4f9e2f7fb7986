#include "include/once/ticket_codec.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace papaya {
namespace {

const Ticket kTicket{.issuer = RouterId("sk-1"),
                     .incarnation = Incarnation(17),
                     .serial = 4,
                     .expires = TimePoint(std::chrono::seconds(90))};

TEST_CASE("TicketCodec: decodes its own tickets, for the same account only",
          "[once]") {
  const TicketCodec codec("secret");
  const AccountId school("school");
  const std::string text = codec.Encode(kTicket, school);
  REQUIRE(codec.Decode(text, school).ok());
  CHECK(*codec.Decode(text, school) == kTicket);
  CHECK_FALSE(codec.Decode(text, AccountId("fair")).ok());
  CHECK_FALSE(TicketCodec("other").Decode(text, school).ok());
}

TEST_CASE("TicketCodec: rejects any changed text", "[once][fuzz]") {
  const TicketCodec codec("secret");
  const std::string text = codec.Encode(kTicket, AccountId("school"));
  rc::prop("one changed byte", [&codec, &text] {
    std::string changed = text;
    const size_t at = *rc::gen::inRange<size_t>(0, text.size());
    const char byte = *rc::gen::arbitrary<char>();
    changed[at] = byte;
    RC_ASSERT(changed == text ||
              !codec.Decode(changed, AccountId("school")).ok());
  });
  rc::prop("arbitrary text", [&codec](const std::string& any) {
    RC_ASSERT(!codec.Decode(any, AccountId("school")).ok());
  });
}

}  // namespace
}  // namespace papaya
