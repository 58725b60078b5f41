#pragma once

#include <sys/types.h>

namespace zinnia::bench {

/** CPU time that a process has used so far, all threads. From /proc/PID/stat. */
double CpuSecondsOf(pid_t process);

/** Resident memory of a process. From /proc/PID/status. */
double ResidentKilobytesOf(pid_t process);

/** The machine's load average over a minute. */
double LoadAverage();

}  // namespace zinnia::bench
