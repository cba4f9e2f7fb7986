#include "include/admission/demand_packing.h"
#include "src/wire/peer_codecs.h"

namespace papaya {

fb::PayloadUnion EncodeDemandNotice(const DemandNotice& notice) {
  const std::string packed = PackDemand(notice);
  fb::DemandReportT encoded;
  encoded.packed.assign(packed.begin(), packed.end());
  return MakePayload(std::move(encoded));
}

std::optional<DemandNotice> DecodeDemandNotice(
    const fb::PayloadUnion& payload) {
  const fb::DemandReportT* encoded = payload.AsDemandReport();
  if (encoded == nullptr) {
    return std::nullopt;
  }
  // A router of an earlier release: its connection stays, without content.
  if (encoded->packed.empty()) {
    return DemandNotice();
  }
  return UnpackDemand({encoded->packed.begin(), encoded->packed.end()});
}

}  // namespace papaya
