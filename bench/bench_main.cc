#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "bench/measure.h"

// Runs the measures that FindMeasures selects by the arguments, or all without
// arguments, and prints one line per measurement. Exits with 1 if a measure
// throws or the arguments select none, else with 0, also if values miss their
// targets.
int main(int argc, char** argv) {
  const std::vector<std::string> prefixes(argv + 1, argv + argc);
  const std::vector<papaya::bench::Measure> measures =
      papaya::bench::FindMeasures(prefixes);
  if (measures.empty()) {
    std::cerr << "papaya_bench: no measure matches any of the names given\n";
    return 1;
  }
  int status = 0;
  for (const papaya::bench::Measure& measure : measures) {
    try {
      for (const papaya::bench::Measurement& measurement : measure.run()) {
        std::cout << papaya::bench::FormatMeasurement(measurement) << std::endl;
      }
    } catch (const std::exception& error) {
      std::cerr << "papaya_bench: " << measure.name << ": " << error.what()
                << "\n";
      status = 1;
    }
  }
  return status;
}
