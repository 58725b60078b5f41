#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv) {
  // CppUTest's library replaces new and delete to look for leaks, without locks. A test that runs
  // threads then fails now and then with "Deallocating non-allocated memory" or a leak that is
  // none.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
