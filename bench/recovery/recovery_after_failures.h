#pragma once

namespace zinnia::bench {

/** Fails a stage, freezes one, and fails the instance in the middle of answers, some dozens of
   times each, and prints how long the caller waited for the next token. */
void MeasureRecoveries();

}  // namespace zinnia::bench
