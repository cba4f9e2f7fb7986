#include "bench/fake_site.h"

#include <cmath>
#include <iterator>

namespace papaya::bench {

namespace {

// Four generations of hardware, slowest first.
constexpr FakeEngineSpeed kGenerations[] = {
    {8, 1.0 / 2500, 0.045, 0.4, 700},
    {8, 1.0 / 4500, 0.032, 0.4, 900},
    {8, 1.0 / 8000, 0.022, 0.4, 1200},
    {8, 1.0 / 12000, 0.015, 0.4, 1600},
};

// A replica of a plain service, which handles four calls concurrently.
constexpr FakeEngineSpeed kService = {4, 0.0, 0.001, 0.0, 0};

// Load of the booking services, as a fraction of their capacity, when the model
// engines get a load of 1. Bookings alone never overload their own services.
constexpr double kBookingLoadFraction = 0.3;

UpstreamSpec MakeSpec(const std::string& pool, int number, UpstreamKind kind) {
  UpstreamSpec spec;
  spec.id = UpstreamId(pool + "-" + std::to_string(number));
  spec.zone = AvailabilityZoneId("z" + std::to_string(number % 3));
  spec.kind = kind;
  spec.pool = PoolId(pool);
  spec.version = VersionId("v1");
  spec.refusal_means_not_run = true;
  return spec;
}

void AddEngines(FakeSite* site, const std::string& pool, int count) {
  for (int i = 0; i < count; ++i) {
    const size_t generation = static_cast<size_t>(i) % std::size(kGenerations);
    UpstreamSpec spec = MakeSpec(pool, i, UpstreamKind::kModelEngine);
    spec.generation = GenerationId("g" + std::to_string(generation + 1));
    spec.slots = kGenerations[generation].slots;
    site->upstreams.push_back(spec);
    site->speeds.push_back(kGenerations[generation]);
  }
}

void AddServices(FakeSite* site, const std::string& pool, int count) {
  for (int i = 0; i < count; ++i) {
    UpstreamSpec spec = MakeSpec(pool, i, UpstreamKind::kPlainService);
    spec.slots = kService.slots;
    site->upstreams.push_back(spec);
    site->speeds.push_back(kService);
  }
}

TrafficClass MakeBooking(const std::string& pool) {
  TrafficClass booking;
  booking.route = RouteId(pool);
  booking.pool = PoolId(pool);
  booking.tier = Tier::kCritical;
  booking.fraction = kBookingLoadFraction;
  booking.output = 250;
  booking.output_sigma = 0.5;
  booking.max_queue_time = std::chrono::seconds(2);
  booking.idempotent = false;
  return booking;
}

TrafficClass MakeChat(const char* route,
                      const PoolId& pool,
                      Tier tier,
                      double fraction,
                      double output) {
  TrafficClass chat;
  chat.route = RouteId(route);
  chat.pool = pool;
  chat.tier = tier;
  chat.fraction = fraction;
  chat.prompt = 1536;
  chat.output = output;
  chat.output_sigma = 0.6;
  chat.max_queue_time = std::chrono::seconds(5);
  chat.is_conversation = true;
  return chat;
}

// Creates a class of requests that are not part of a conversation.
TrafficClass MakeDocument(const char* route,
                          const PoolId& pool,
                          Tier tier,
                          double fraction,
                          int64_t prompt,
                          double output) {
  TrafficClass document = MakeChat(route, pool, tier, fraction, output);
  document.prompt = prompt;
  document.max_queue_time = std::chrono::seconds(20);
  document.is_conversation = false;
  return document;
}

double MeanOutput(const TrafficClass& traffic) {
  return traffic.output *
         std::exp(traffic.output_sigma * traffic.output_sigma / 2.0);
}

}  // namespace

double FakeSite::Capacity(const PoolId& pool) const {
  double prompt = 0.0;
  double output = 0.0;
  double fractions = 0.0;
  for (const TrafficClass& traffic : classes) {
    if (traffic.pool == pool) {
      prompt += traffic.fraction * static_cast<double>(traffic.prompt);
      output += traffic.fraction * MeanOutput(traffic);
      fractions += traffic.fraction;
    }
  }
  double rate = 0.0;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    if (upstreams[i].pool != pool) {
      continue;
    }
    const FakeEngineSpeed& speed = speeds[i];
    const double seconds =
        prompt / fractions * speed.prefill_seconds_per_token +
        output / fractions * speed.decode_seconds_per_token *
            (1.0 + speed.batch_slowdown);
    rate += speed.slots / seconds;
  }
  return rate;
}

FakeSite MakeSkokan() {
  const PoolId pool("assistant");
  FakeSite site;
  site.name = "skokan";
  AddEngines(&site, "assistant", 9);
  AddServices(&site, "booking", 3);
  // Hire questions that end in a booking have the highest tier.
  site.classes = {
      MakeChat("hire", pool, Tier::kCritical, 0.15, 60),
      MakeChat("chat", pool, Tier::kInteractive, 0.50, 120),
      MakeDocument("plan", pool, Tier::kStandard, 0.20, 4096, 900),
      MakeDocument("damage", pool, Tier::kBatch, 0.15, 512, 30),
      MakeBooking("booking"),
  };
  site.classes[0].max_queue_time = std::chrono::seconds(3);
  site.router_fractions = {0.3, 0.2, 0.15, 0.15, 0.1, 0.06, 0.04};
  site.account_fractions = {0.4, 0.3, 0.15, 0.1, 0.05};
  return site;
}

FakeSite MakeWadiRum() {
  const PoolId pool("writer");
  FakeSite site;
  site.name = "wadi_rum";
  AddEngines(&site, "writer", 18);
  AddServices(&site, "bidding", 3);
  site.classes = {
      MakeChat("bidder", pool, Tier::kCritical, 0.15, 40),
      MakeChat("chat", pool, Tier::kInteractive, 0.45, 40),
      MakeDocument("report", pool, Tier::kStandard, 0.15, 4096, 3000),
      MakeDocument("tags", pool, Tier::kBatch, 0.25, 512, 20),
      MakeBooking("bidding"),
  };
  site.classes[0].max_queue_time = std::chrono::seconds(3);
  site.router_fractions = {0.3, 0.2, 0.15, 0.15, 0.1, 0.06, 0.04};
  site.account_fractions = {0.45, 0.3, 0.15, 0.06, 0.04};
  return site;
}

}  // namespace papaya::bench
