#pragma once

#include <string>

/** Compares text with tests/golden/operators/NAME. To write a new or changed file, run the tests
    with ZINNIA_WRITE_GOLDEN set and read the difference before committing it. */
void CheckGolden(const std::string& name, const std::string& text);
