#pragma once

#include <cstddef>
#include <vector>

namespace zinnia::bench {

/** A small linear program: maximise one variable under rows `sum(coefficient * variable) <= limit`,
    all variables and limits at least zero. Solved exactly by the simplex method. */
class LinearProgram {
 public:
  struct Term {
    std::size_t variable;
    double coefficient;
  };

  std::size_t AddVariable() { return m_variables++; }
  void AddRow(std::vector<Term> terms, double limit);

  /** The largest value that the variable can take. */
  double Maximise(std::size_t variable) const;

 private:
  struct Row {
    std::vector<Term> terms;
    double limit;
  };

  std::size_t m_variables = 0;
  std::vector<Row> m_rows;
};

}  // namespace zinnia::bench
