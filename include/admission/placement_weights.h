#ifndef INCLUDE_ADMISSION_PLACEMENT_WEIGHTS_H_
#define INCLUDE_ADMISSION_PLACEMENT_WEIGHTS_H_

namespace papaya {

// Weights of the costs by which a Scheduler chooses an upstream, in seconds of
// a request's time. The defaults suit engines whose prompts share long
// prefixes.
struct PlacementWeights {
  // Factor for the prefill time of the request's uncached prompt tokens. It is
  // above 1 because the prompts behind it are delayed as well.
  double prefill = 3.0;
  // Additional cost in seconds of each uncached prompt token, equal for fast
  // and slow engines. Without it, where prefill takes little time, the engine
  // that holds the prefix would not be preferred, and every engine would come
  // to hold every prefix.
  double prefill_token_seconds = 0.002;
  // Factor for the time after the first token. It is small because the caller
  // already receives output.
  double decode = 0.02;
  // Cost in seconds of taking the last free slot of an upstream, and the number
  // of free slots over which it falls to 1/e.
  double crowding_seconds = 3.0;
  double crowding_slots = 1.5;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_PLACEMENT_WEIGHTS_H_
