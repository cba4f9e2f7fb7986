#include <chrono>
#include <memory>
#include <utility>

#include "src/wire/peer_codecs.h"

namespace papaya {

namespace {

using HeaderTables = std::vector<std::unique_ptr<fb::HeaderT>>;

HeaderTables EncodeHeaders(const HttpHeaders& headers) {
  HeaderTables encoded;
  for (const auto& [name, value] : headers.lines()) {
    auto one = std::make_unique<fb::HeaderT>();
    one->name = name;
    one->value = value;
    encoded.push_back(std::move(one));
  }
  return encoded;
}

HttpHeaders DecodeHeaders(const HeaderTables& encoded) {
  HttpHeaders headers;
  for (const auto& one : encoded) {
    headers.Add(one->name, one->value);
  }
  return headers;
}

std::unique_ptr<fb::StoredAnswerT> EncodeAnswer(const StoredAnswer& answer) {
  auto encoded = std::make_unique<fb::StoredAnswerT>();
  encoded->status = answer.status;
  encoded->content_type = answer.content_type;
  encoded->body = answer.body;
  return encoded;
}

std::optional<PeerMessage> Decode(const fb::ClaimQueryT& encoded) {
  return ClaimQuery{.from = RouterId(encoded.from),
                    .claimer = Incarnation(encoded.claimer),
                    .claim = encoded.claim};
}

std::optional<PeerMessage> Decode(const fb::ClaimReplyT& encoded) {
  if (encoded.state > static_cast<uint8_t>(ClaimState::kForgotten) ||
      encoded.outcome > static_cast<uint8_t>(Outcome::kUnknown)) {
    return std::nullopt;
  }
  ClaimReply reply{.claim = encoded.claim,
                   .state = static_cast<ClaimState>(encoded.state),
                   .outcome = static_cast<Outcome>(encoded.outcome)};
  if (encoded.answer != nullptr) {
    reply.answer = {.status = encoded.answer->status,
                    .content_type = encoded.answer->content_type,
                    .body = encoded.answer->body};
  }
  return reply;
}

std::optional<PeerMessage> Decode(const fb::ForwardRequestT& encoded) {
  ForwardRequest forward{
      .serial = encoded.serial,
      .account = AccountId(encoded.account),
      .ticket = encoded.ticket,
      .time_left = std::chrono::milliseconds(encoded.deadline_ms)};
  forward.request.method = encoded.method;
  forward.request.target = encoded.target;
  forward.request.headers = DecodeHeaders(encoded.headers);
  forward.request.body = encoded.body;
  return forward;
}

std::optional<PeerMessage> Decode(const fb::ForwardReplyT& encoded) {
  ForwardReply reply{.serial = encoded.serial};
  reply.response.status = encoded.status;
  reply.response.headers = DecodeHeaders(encoded.headers);
  reply.response.body = encoded.body;
  return reply;
}

}  // namespace

fb::PayloadUnion EncodeOnceMessage(const ClaimQuery& query) {
  fb::ClaimQueryT encoded;
  encoded.from = query.from.value();
  encoded.claimer = query.claimer.value();
  encoded.claim = query.claim;
  return MakePayload(std::move(encoded));
}

fb::PayloadUnion EncodeOnceMessage(const ClaimReply& reply) {
  fb::ClaimReplyT encoded;
  encoded.claim = reply.claim;
  encoded.state = static_cast<uint8_t>(reply.state);
  encoded.outcome = static_cast<uint8_t>(reply.outcome);
  encoded.answer = EncodeAnswer(reply.answer);
  return MakePayload(std::move(encoded));
}

fb::PayloadUnion EncodeOnceMessage(const ForwardRequest& request) {
  fb::ForwardRequestT encoded;
  encoded.serial = request.serial;
  encoded.account = request.account.value();
  encoded.ticket = request.ticket;
  encoded.method = request.request.method;
  encoded.target = request.request.target;
  encoded.headers = EncodeHeaders(request.request.headers);
  encoded.body = request.request.body;
  encoded.deadline_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.time_left)
          .count();
  return MakePayload(std::move(encoded));
}

fb::PayloadUnion EncodeOnceMessage(const ForwardReply& reply) {
  fb::ForwardReplyT encoded;
  encoded.serial = reply.serial;
  encoded.status = reply.response.status;
  encoded.headers = EncodeHeaders(reply.response.headers);
  encoded.body = reply.response.body;
  return MakePayload(std::move(encoded));
}

std::optional<PeerMessage> DecodeOnceMessage(const fb::PayloadUnion& payload) {
  switch (payload.type) {
    case fb::Payload::ClaimQuery:
      return Decode(*payload.AsClaimQuery());
    case fb::Payload::ClaimReply:
      return Decode(*payload.AsClaimReply());
    case fb::Payload::ForwardRequest:
      return Decode(*payload.AsForwardRequest());
    case fb::Payload::ForwardReply:
      return Decode(*payload.AsForwardReply());
    default:
      return std::nullopt;
  }
}

}  // namespace papaya
