# The programs that the benchmark starts are found and ended as in the tests of whole processes.
list(APPEND sources
  ${CMAKE_SOURCE_DIR}/tests/processes/child_process.cc
  ${CMAKE_SOURCE_DIR}/tests/processes/process_harness.cc)
set(starts_programs ON)
