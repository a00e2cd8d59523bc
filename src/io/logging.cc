#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include "io/metrics.h"

namespace radishroute {

namespace {

// Lines that may wait for a slow reader of standard output; further ones are dropped and counted
// in a line of their own, so that logging never holds up a request.
constexpr int kMaxWaitingLines = 2000;

log4cxx::LevelPtr ToLevel(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return log4cxx::Level::getDebug();
    case log_level::kInfo:
      return log4cxx::Level::getInfo();
    case log_level::kWarning:
      return log4cxx::Level::getWarn();
    case log_level::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

// Never destroyed: threads may still log while static objects are destroyed at exit.
log4cxx::LoggerPtr& RootLogger() {
  static auto* logger = new log4cxx::LoggerPtr(log4cxx::Logger::getRootLogger());
  return *logger;
}

std::string Quote(const std::string& value) {
  if (value.find_first_of(" \"=\n") == std::string::npos && !value.empty()) return value;
  std::string quoted = "\"";
  for (char c : value) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + "\"";
}

}  // namespace

void ConfigureLogging(const std::string& file, log_level lowest) {
  auto layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-ddTHH:mm:ss.SSS} %p %m%n");
  log4cxx::AppenderPtr appender;
  if (file.empty()) {
    auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(kMaxWaitingLines);
    queue->setBlocking(false);
    queue->addAppender(std::make_shared<log4cxx::ConsoleAppender>(layout, "System.out"));
    appender = queue;
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
  }
  RootLogger()->removeAllAppenders();
  RootLogger()->addAppender(appender);
  RootLogger()->setLevel(ToLevel(lowest));
}

void FlushLog() { RootLogger()->removeAllAppenders(); }

void WriteLog(const log_event& event) {
  log4cxx::LevelPtr level = ToLevel(event.level);
  if (!RootLogger()->isEnabledFor(level)) return;
  std::string line = "event=" + std::to_string(static_cast<int>(event.code)) +
                     " name=" + std::string(ToString(event.code));
  for (const log_field& field : event.fields) line += " " + field.key + "=" + Quote(field.value);
  RootLogger()->forcedLog(level, line);
}

}  // namespace radishroute
