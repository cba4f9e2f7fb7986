#include "include/telemetry/logger.h"

#include <boost/core/null_deleter.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <ctime>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace papaya {

namespace {

namespace logging = boost::log;

std::string Quote(const std::string& text) {
  return boost::json::serialize(boost::json::string(text));
}

std::string FormatTime(WallTime time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(
      std::chrono::floor<std::chrono::seconds>(time));
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  const int64_t millis = time.time_since_epoch().count() % 1000;
  return absl::StrFormat("%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                         parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday,
                         parts.tm_hour, parts.tm_min, parts.tm_sec, millis);
}

}  // namespace

std::string FormatEvent(const Event& event, WallTime time) {
  const EventInfo& info = GetEventInfo(event.id);
  std::string line = absl::StrCat(
      "{\"t\":\"", FormatTime(time), "\",\"event\":", static_cast<int>(info.id),
      ",\"name\":\"", info.name, "\",\"severity\":\"",
      SeverityName(info.severity), "\"");
  for (const auto& [name, value] : event.fields) {
    absl::StrAppend(&line, ",", Quote(name), ":", Quote(value));
  }
  line += "}";
  return line;
}

class Logger::Sink {
 public:
  using Backend = logging::sinks::text_ostream_backend;
  using Frontend = logging::sinks::synchronous_sink<Backend>;

  explicit Sink(std::ostream& out) {
    const auto backend = boost::make_shared<Backend>();
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&out, boost::null_deleter()));
    backend->auto_flush(true);
    frontend_ = boost::make_shared<Frontend>(backend);
    frontend_->set_formatter(logging::expressions::stream
                             << logging::expressions::smessage);
    logging::core::get()->add_sink(frontend_);
  }

  ~Sink() { logging::core::get()->remove_sink(frontend_); }

  void Write(const std::string& line) { BOOST_LOG(source_) << line; }

 private:
  boost::shared_ptr<Frontend> frontend_;
  logging::sources::logger_mt source_;
};

Logger::Logger(std::ostream& out, Severity least)
    : least_(least), sink_(std::make_unique<Sink>(out)) {}

Logger::~Logger() = default;

void Logger::Log(const Event& event) {
  if (GetEventInfo(event.id).severity < least_) {
    return;
  }
  const WallTime now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  sink_->Write(FormatEvent(event, now));
}

EventHook Logger::hook() {
  return [this](const Event& event) { Log(event); };
}

}  // namespace papaya
