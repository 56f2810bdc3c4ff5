#include "LibeventLog.h"

#include <event2/event.h>

namespace currantreel {

namespace {

const Log *currentLog = nullptr;

} // namespace

LibeventLog::LibeventLog(const Log &log)
{
    currentLog = &log;
    event_set_log_callback(&LibeventLog::write);
}

LibeventLog::~LibeventLog()
{
    event_set_log_callback(nullptr);
    currentLog = nullptr;
}

void LibeventLog::write(int severity, const char *message)
{
    if (severity >= EVENT_LOG_WARN)
        currentLog->write("libevent", { { "message", message } });
}

} // namespace currantreel
