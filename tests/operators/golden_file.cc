#include "operators/golden_file.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

void CheckGolden(const std::string& name, const std::string& text) {
  const std::string file_name = std::string(ZINNIA_GOLDEN_FOLDER) + "/operators/" + name;
  if (std::getenv("ZINNIA_WRITE_GOLDEN") != nullptr) {
    std::ofstream(file_name) << text;
  }
  std::stringstream expected;
  expected << std::ifstream(file_name).rdbuf();
  STRCMP_EQUAL(expected.str().c_str(), text.c_str());
}
