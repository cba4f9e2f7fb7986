#ifndef INCLUDE_ADMISSION_PLACEMENT_WEIGHTS_H_
#define INCLUDE_ADMISSION_PLACEMENT_WEIGHTS_H_

namespace papaya {

// What counts when a Scheduler chooses an upstream, in seconds of a request's
// time. The defaults are for engines whose prompts are shared in long parts.
struct PlacementWeights {
  // Prompt tokens that have to be worked through hold up the prompts that come
  // after them, too.
  double prefill = 3.0;
  // What each prompt token that has to be worked through costs besides, in
  // seconds, on the fastest engine as on the slowest: where the time is short
  // it would not be worth going to where the prefix is, and every engine would
  // come to hold every prefix.
  double prefill_token_seconds = 0.002;
  // The time after the first token, which nobody waits for idly.
  double decode = 0.02;
  // What taking the last free slot of an upstream may cost, in seconds, and
  // over how many free slots that falls to 1/e.
  double crowding_seconds = 3.0;
  double crowding_slots = 1.5;
};

}  // namespace papaya

#endif  // INCLUDE_ADMISSION_PLACEMENT_WEIGHTS_H_
