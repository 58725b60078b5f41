#include "bench/support/linear_program.h"

#include <optional>
#include <utility>

namespace zinnia::bench {
namespace {

constexpr double kZero = 1e-9;

/** The simplex tableau: one row a constraint, the last one the objective; the last column holds the
    limits. Bland's rule keeps it from cycling. */
struct Tableau {
  std::vector<std::vector<double>> rows;
  std::vector<std::size_t> basis;

  std::optional<std::size_t> EnteringColumn() const {
    const std::vector<double>& objective = rows.back();
    for (std::size_t column = 0; column + 1 < objective.size(); ++column) {
      if (objective[column] < -kZero) {
        return column;
      }
    }
    return std::nullopt;
  }

  std::optional<std::size_t> LeavingRow(std::size_t column) const {
    std::optional<std::size_t> best;
    double best_ratio = 0.0;
    for (std::size_t row = 0; row + 1 < rows.size(); ++row) {
      if (rows[row][column] <= kZero) {
        continue;
      }
      const double ratio = rows[row].back() / rows[row][column];
      const bool tie = best && ratio < best_ratio + kZero;
      if (!best || ratio < best_ratio - kZero || (tie && basis[row] < basis[*best])) {
        best = row;
        best_ratio = ratio;
      }
    }
    return best;
  }

  void Pivot(std::size_t pivot_row, std::size_t column) {
    std::vector<double>& pivot = rows[pivot_row];
    const double divisor = pivot[column];
    for (double& value : pivot) {
      value /= divisor;
    }
    for (std::size_t row = 0; row < rows.size(); ++row) {
      const double factor = rows[row][column];
      if (row == pivot_row || factor == 0.0) {
        continue;
      }
      for (std::size_t each = 0; each < pivot.size(); ++each) {
        rows[row][each] -= factor * pivot[each];
      }
    }
    basis[pivot_row] = column;
  }
};

}  // namespace

void LinearProgram::AddRow(std::vector<Term> terms, double limit) {
  m_rows.push_back({std::move(terms), limit});
}

double LinearProgram::Maximise(std::size_t variable) const {
  const std::size_t columns = m_variables + m_rows.size() + 1;
  Tableau tableau;
  for (std::size_t row = 0; row < m_rows.size(); ++row) {
    std::vector<double> values(columns, 0.0);
    for (const Term& term : m_rows[row].terms) {
      values[term.variable] += term.coefficient;
    }
    values[m_variables + row] = 1.0;
    values.back() = m_rows[row].limit;
    tableau.rows.push_back(std::move(values));
    tableau.basis.push_back(m_variables + row);
  }
  std::vector<double> objective(columns, 0.0);
  objective[variable] = -1.0;
  tableau.rows.push_back(std::move(objective));
  while (const auto column = tableau.EnteringColumn()) {
    const auto row = tableau.LeavingRow(*column);
    if (!row) {
      break;
    }
    tableau.Pivot(*row, *column);
  }
  return tableau.rows.back().back();
}

}  // namespace zinnia::bench
