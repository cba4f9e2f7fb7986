#include <memory>
#include <utility>

#include "src/wire/peer_codecs.h"

namespace papaya {

namespace {

using SpecTable = std::unique_ptr<fb::UpstreamSpecT>;
using ShareTable = std::unique_ptr<fb::VersionShareT>;

SpecTable EncodeSpec(const UpstreamSpec& spec) {
  auto encoded = std::make_unique<fb::UpstreamSpecT>();
  encoded->id = spec.id.value();
  encoded->vm = spec.vm.value();
  encoded->address = spec.address;
  encoded->zone = spec.zone.value();
  encoded->kind = static_cast<uint8_t>(spec.kind);
  encoded->pool = spec.pool.value();
  encoded->version = spec.version.value();
  encoded->generation = spec.generation.value();
  encoded->slots = spec.slots;
  encoded->checks_fencing = spec.checks_fencing;
  encoded->refusal_means_not_run = spec.refusal_means_not_run;
  return encoded;
}

std::vector<SpecTable> EncodeSpecs(const std::vector<UpstreamSpec>& specs) {
  std::vector<SpecTable> encoded;
  encoded.reserve(specs.size());
  for (const UpstreamSpec& spec : specs) {
    encoded.push_back(EncodeSpec(spec));
  }
  return encoded;
}

std::optional<std::vector<UpstreamSpec>> DecodeSpecs(
    const std::vector<SpecTable>& encoded) {
  std::vector<UpstreamSpec> specs;
  specs.reserve(encoded.size());
  for (const SpecTable& one : encoded) {
    if (one->kind > static_cast<uint8_t>(UpstreamKind::kPlainService)) {
      return std::nullopt;
    }
    specs.push_back({.id = UpstreamId(one->id),
                     .vm = VmId(one->vm),
                     .address = one->address,
                     .zone = AvailabilityZoneId(one->zone),
                     .kind = static_cast<UpstreamKind>(one->kind),
                     .pool = PoolId(one->pool),
                     .version = VersionId(one->version),
                     .generation = GenerationId(one->generation),
                     .slots = one->slots,
                     .checks_fencing = one->checks_fencing,
                     .refusal_means_not_run = one->refusal_means_not_run});
  }
  return specs;
}

std::vector<ShareTable> EncodeShares(const std::vector<VersionShare>& shares) {
  std::vector<ShareTable> encoded;
  for (const VersionShare& share : shares) {
    auto one = std::make_unique<fb::VersionShareT>();
    one->pool = share.pool.value();
    one->version = share.version.value();
    one->share = share.share.value();
    one->note = share.note.value();
    encoded.push_back(std::move(one));
  }
  return encoded;
}

std::vector<VersionShare> DecodeShares(const std::vector<ShareTable>& encoded) {
  std::vector<VersionShare> shares;
  shares.reserve(encoded.size());
  for (const ShareTable& one : encoded) {
    shares.push_back({.pool = PoolId(one->pool),
                      .version = VersionId(one->version),
                      .share = Permille(one->share),
                      .note = NoteId(one->note)});
  }
  return shares;
}

// One overload a message gives its table.

fb::ConfigDigestT Encode(const ConfigDigest& digest) {
  fb::ConfigDigestT encoded;
  encoded.revision = digest.revision.value();
  encoded.hash = digest.hash;
  encoded.highest_known = digest.highest_known.value();
  encoded.facts_hash = digest.facts_hash;
  encoded.applied_hash = digest.applied_hash;
  return encoded;
}

fb::ConfigRequestT Encode(const ConfigRequest& request) {
  fb::ConfigRequestT encoded;
  encoded.base = request.base.value();
  encoded.base_hash = request.base_hash;
  return encoded;
}

std::unique_ptr<fb::ConfigDeltaT> EncodeDelta(const ConfigDelta& delta) {
  auto encoded = std::make_unique<fb::ConfigDeltaT>();
  encoded->base = delta.base.value();
  encoded->base_hash = delta.base_hash;
  encoded->revision = delta.revision.value();
  encoded->result_hash = delta.result_hash;
  encoded->note = delta.note.value();
  encoded->changed = EncodeSpecs(delta.changed);
  for (const UpstreamId& id : delta.removed) {
    encoded->removed.push_back(id.value());
  }
  encoded->shares = EncodeShares(delta.shares);
  return encoded;
}

fb::ConfigDeltasT Encode(const ConfigDeltas& message) {
  fb::ConfigDeltasT encoded;
  for (const ConfigDelta& delta : message.deltas) {
    encoded.deltas.push_back(EncodeDelta(delta));
  }
  return encoded;
}

fb::ConfigSnapshotT Encode(const ConfigSnapshot& snapshot) {
  fb::ConfigSnapshotT encoded;
  encoded.hash = snapshot.hash;
  encoded.config = std::make_unique<fb::FleetConfigT>();
  encoded.config->revision = snapshot.config->revision.value();
  encoded.config->note = snapshot.config->note.value();
  encoded.config->upstreams = EncodeSpecs(snapshot.config->upstreams);
  encoded.config->shares = EncodeShares(snapshot.config->shares);
  return encoded;
}

fb::FactNewsT Encode(const FactNews& news) {
  fb::FactNewsT encoded;
  for (const StoppedVersion& fact : news.stopped) {
    auto one = std::make_unique<fb::StoppedVersionT>();
    one->note = fact.note.value();
    one->pool = fact.pool.value();
    one->version = fact.version.value();
    one->upstream = fact.upstream.value();
    one->revision = fact.revision.value();
    one->reason = fact.reason;
    encoded.stopped.push_back(std::move(one));
  }
  for (const LeavingUpstream& fact : news.leaving) {
    auto one = std::make_unique<fb::LeavingUpstreamT>();
    one->id = fact.id.value();
    one->since = fact.since.value();
    encoded.leaving.push_back(std::move(one));
  }
  return encoded;
}

fb::AppliedNewsT Encode(const AppliedNews& news) {
  fb::AppliedNewsT encoded;
  for (const AppliedGroup& group : news.groups) {
    auto one = std::make_unique<fb::AppliedGroupT>();
    one->revision = group.revision.value();
    one->routers = group.routers;
    encoded.groups.push_back(std::move(one));
  }
  return encoded;
}

// One overload a table gives its message.

std::optional<ConfigMessage> Decode(const fb::ConfigDigestT& encoded) {
  return ConfigDigest{.revision = Revision(encoded.revision),
                      .hash = encoded.hash,
                      .highest_known = Revision(encoded.highest_known),
                      .facts_hash = encoded.facts_hash,
                      .applied_hash = encoded.applied_hash};
}

std::optional<ConfigMessage> Decode(const fb::ConfigRequestT& encoded) {
  return ConfigRequest{.base = Revision(encoded.base),
                       .base_hash = encoded.base_hash};
}

std::optional<ConfigMessage> Decode(const fb::ConfigDeltasT& encoded) {
  ConfigDeltas message;
  for (const auto& one : encoded.deltas) {
    std::optional<std::vector<UpstreamSpec>> changed =
        DecodeSpecs(one->changed);
    if (!changed.has_value()) {
      return std::nullopt;
    }
    ConfigDelta delta{.base = Revision(one->base),
                      .base_hash = one->base_hash,
                      .revision = Revision(one->revision),
                      .result_hash = one->result_hash,
                      .note = NoteId(one->note),
                      .changed = std::move(*changed),
                      .shares = DecodeShares(one->shares)};
    for (const std::string& id : one->removed) {
      delta.removed.emplace_back(id);
    }
    message.deltas.push_back(std::move(delta));
  }
  return message;
}

std::optional<ConfigMessage> Decode(const fb::ConfigSnapshotT& encoded) {
  if (encoded.config == nullptr) {
    return std::nullopt;
  }
  std::optional<std::vector<UpstreamSpec>> upstreams =
      DecodeSpecs(encoded.config->upstreams);
  if (!upstreams.has_value()) {
    return std::nullopt;
  }
  auto config = std::make_shared<FleetConfig>();
  config->revision = Revision(encoded.config->revision);
  config->note = NoteId(encoded.config->note);
  config->upstreams = std::move(*upstreams);
  config->shares = DecodeShares(encoded.config->shares);
  return ConfigSnapshot{.hash = encoded.hash, .config = std::move(config)};
}

std::optional<ConfigMessage> Decode(const fb::FactNewsT& encoded) {
  FactNews news;
  for (const auto& one : encoded.stopped) {
    news.stopped.push_back({.note = NoteId(one->note),
                            .pool = PoolId(one->pool),
                            .version = VersionId(one->version),
                            .upstream = UpstreamId(one->upstream),
                            .revision = Revision(one->revision),
                            .reason = one->reason});
  }
  for (const auto& one : encoded.leaving) {
    news.leaving.push_back(
        {.id = UpstreamId(one->id), .since = Revision(one->since)});
  }
  return news;
}

std::optional<ConfigMessage> Decode(const fb::AppliedNewsT& encoded) {
  AppliedNews news;
  for (const auto& one : encoded.groups) {
    news.groups.push_back(
        {.revision = Revision(one->revision), .routers = one->routers});
  }
  return news;
}

}  // namespace

fb::PayloadUnion EncodeConfigMessage(const ConfigMessage& message) {
  fb::PayloadUnion payload;
  std::visit([&payload](const auto& one) { payload.Set(Encode(one)); },
             message);
  return payload;
}

std::optional<ConfigMessage> DecodeConfigMessage(
    const fb::PayloadUnion& payload) {
  switch (payload.type) {
    case fb::Payload::ConfigDigest:
      return Decode(*payload.AsConfigDigest());
    case fb::Payload::ConfigRequest:
      return Decode(*payload.AsConfigRequest());
    case fb::Payload::ConfigDeltas:
      return Decode(*payload.AsConfigDeltas());
    case fb::Payload::ConfigSnapshot:
      return Decode(*payload.AsConfigSnapshot());
    case fb::Payload::FactNews:
      return Decode(*payload.AsFactNews());
    case fb::Payload::AppliedNews:
      return Decode(*payload.AsAppliedNews());
    default:
      return std::nullopt;
  }
}

}  // namespace papaya
