#include "zinnia_decisions/forwarding/answer_memory.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

struct Step {
  char answer;
  std::size_t bytes;
};

struct MemoryCase {
  std::string_view name;
  std::vector<Step> steps;
  std::string_view let_go;
  std::size_t sum;
};

const std::array kCases = {
    MemoryCase{"up to the limit", {{'a', 60}, {'b', 40}}, "", 100},
    MemoryCase{"the largest, not the newest", {{'a', 60}, {'b', 30}, {'c', 11}}, "a", 41},
    MemoryCase{"the one that grows", {{'a', 20}, {'b', 30}, {'b', 81}}, "b", 20},
    MemoryCase{"one alone beyond the limit", {{'a', 101}}, "a", 0},
    MemoryCase{"what was given back counts no more", {{'a', 90}, {'a', 0}, {'b', 90}}, "", 90},
    MemoryCase{"as many as needed", {{'a', 50}, {'b', 45}, {'c', 160}, {'d', 60}}, "cd", 95},
};

}  // namespace

TEST_GROUP(AnswerMemory) {
  std::shared_ptr<zinnia::AnswerMemory> memory = zinnia::AnswerMemory::Create(100);
  std::string let_go;
  std::map<char, std::unique_ptr<zinnia::AnswerMemory::Share>> shares;

  zinnia::AnswerMemory::Share& ShareOf(char answer) {
    auto& share = shares[answer];
    if (!share) {
      share = std::make_unique<zinnia::AnswerMemory::Share>(
          memory, [this, answer](std::size_t) { let_go += answer; });
    }
    return *share;
  }
};

TEST(AnswerMemory, LetsGoOfTheLargestBeyondTheLimit) {
  for (const MemoryCase& one : kCases) {
    let_go.clear();
    for (const Step& step : one.steps) {
      ShareOf(step.answer).Set(step.bytes);
    }
    STRCMP_EQUAL_TEXT(std::string(one.let_go).c_str(), let_go.c_str(), one.name.data());
    CHECK_EQUAL_TEXT(one.sum, memory->Sum(), one.name.data());
    shares.clear();
    CHECK_EQUAL_TEXT(0U, memory->Sum(), one.name.data());
  }
}

// Guards against a share that is used after the answer's end.
TEST(AnswerMemory, AnAnswerMayEndOthersAndItselfWhenLetGo) {
  ShareOf('b').Set(20);
  ShareOf('c').Set(30);
  shares['a'] = std::make_unique<zinnia::AnswerMemory::Share>(memory, [this](std::size_t bytes) {
    CHECK_EQUAL(51U, bytes);
    shares.erase('a');
    shares.erase('b');
    ShareOf('d').Set(71);
  });
  shares['a']->Set(51);
  STRCMP_EQUAL("d", let_go.c_str());
  CHECK_EQUAL(30U, memory->Sum());
}

TEST(AnswerMemory, SharesMayOutliveTheirOwner) {
  ShareOf('a').Set(10);
  memory.reset();
  shares['a']->Set(200);
  STRCMP_EQUAL("a", let_go.c_str());
}

}  // namespace zinnia
