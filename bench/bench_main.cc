#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "bench/measure.h"

// Runs all measures, or those whose names start with one of the arguments, and
// prints a line a figure. Exits 1 only if a measure could not run or none has
// the name.
int main(int argc, char** argv) {
  const std::vector<std::string> prefixes(argv + 1, argv + argc);
  const std::vector<papaya::bench::Measure> measures =
      papaya::bench::FindMeasures(prefixes);
  if (measures.empty()) {
    std::cerr << "papaya_bench: no measure has that name\n";
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
