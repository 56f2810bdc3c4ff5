#ifndef CURRANTREEL_SHELL_LIBEVENTLOG_H
#define CURRANTREEL_SHELL_LIBEVENTLOG_H

#include "../Log/Log.h"

namespace currantreel {

/// Writes the warnings of libevent to the log, which is bounded. libevent itself writes each to the standard
/// error output, as often as it occurs.
///
/// libevent has one log for a process, so there is one of these at a time.
class LibeventLog
{
public:
    /// @param log has to outlive this.
    explicit LibeventLog(const Log &log);
    ~LibeventLog();
    LibeventLog(const LibeventLog &) = delete;
    LibeventLog &operator=(const LibeventLog &) = delete;

private:
    static void write(int severity, const char *message);
};

} // namespace currantreel

#endif
