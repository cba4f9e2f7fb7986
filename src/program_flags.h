#ifndef SRC_PROGRAM_FLAGS_H_
#define SRC_PROGRAM_FLAGS_H_

#include <gflags/gflags.h>

#include <iostream>
#include <optional>
#include <string>

namespace papaya {

inline constexpr int kExitHelp = 0;
inline constexpr int kExitWrongFlags = 2;

// Checks the flag in `argument`, which has the form `--name` or `--name=value`,
// and sets it if it has a value. Returns an error message, or an empty string.
// `next` is the following argument, or null; `takes_next` becomes true if that
// is the value of the flag.
inline std::string FindFlagError(const std::string& argument,
                                 const char* next,
                                 bool& takes_next) {
  const size_t from = argument.starts_with("--") ? 2 : 1;
  const size_t equals = argument.find('=');
  const std::string name = argument.substr(
      from, equals == std::string::npos ? equals : equals - from);
  gflags::CommandLineFlagInfo info;
  const bool is_negated =
      name.starts_with("no") &&
      gflags::GetCommandLineFlagInfo(name.substr(2).c_str(), &info) &&
      info.type == "bool";
  takes_next = false;
  if (is_negated) {
    return "";
  }
  if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
    return "unknown flag --" + name;
  }
  if (equals == std::string::npos && info.type == "bool") {
    return "";
  }
  takes_next = equals == std::string::npos;
  if (takes_next && next == nullptr) {
    return "--" + name + " needs a value";
  }
  const std::string value = takes_next ? next : argument.substr(equals + 1);
  if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
    return "--" + name + " can't be `" + value + "`";
  }
  return "";
}

// Parses the flags of the program `name`, which are defined in
// `<name>_main.cc`, and leaves the other arguments in `argv`. Returns an exit
// code if the program must exit: after printing help, or after printing the
// invalid flag to stderr. gflags alone would exit with 1 in both cases.
inline std::optional<int> ReadProgramFlags(const std::string& name,
                                           const std::string& usage,
                                           int* argc,
                                           char*** argv) {
  gflags::SetUsageMessage(usage);
  gflags::SetVersionString(PAPAYA_VERSION);
  for (int i = 1; i < *argc && std::string((*argv)[i]) != "--"; ++i) {
    const std::string argument = (*argv)[i];
    if (argument.size() < 2 || argument.front() != '-') {
      continue;
    }
    const char* next = i + 1 < *argc ? (*argv)[i + 1] : nullptr;
    bool takes_next = false;
    const std::string error = FindFlagError(argument, next, takes_next);
    if (!error.empty()) {
      std::cerr << name << ": " << error << "; see --help\n";
      return kExitWrongFlags;
    }
    i += takes_next ? 1 : 0;
  }
  gflags::ParseCommandLineNonHelpFlags(argc, argv, true);
  std::string help;
  if (gflags::GetCommandLineOption("help", &help) && help == "true") {
    gflags::ShowUsageWithFlagsRestrict((*argv)[0],
                                       ("/" + name + "_main.cc").c_str());
    return kExitHelp;
  }
  gflags::HandleCommandLineHelpFlags();
  return std::nullopt;
}

}  // namespace papaya

#endif  // SRC_PROGRAM_FLAGS_H_
