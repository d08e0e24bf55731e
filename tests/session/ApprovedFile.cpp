// Compares text with an approved file by lines.
#include "ApprovedFile.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <vector>

namespace cyclamencroft::session {
namespace {

using Lines = std::vector<std::string>;

// An early change in a session shifts all later lines, so the first differing
// lines are enough to find it.
constexpr std::size_t MaxDiffLines = 60;
constexpr std::size_t ContextLines = 3;

Lines splitLines(const std::string &Text) {
  Lines Result;
  std::istringstream Input(Text);
  for (std::string Line; std::getline(Input, Line);)
    Result.push_back(Line);
  return Result;
}

/// Lengths of the longest common subsequences: entry [I][J] is that of A from
/// line I on and B from line J on.
std::vector<std::vector<std::uint32_t>> commonLengths(const Lines &A,
                                                      const Lines &B) {
  std::vector<std::vector<std::uint32_t>> Length(
      A.size() + 1, std::vector<std::uint32_t>(B.size() + 1, 0));
  for (std::size_t I = A.size(); I-- > 0;)
    for (std::size_t J = B.size(); J-- > 0;)
      Length[I][J] = A[I] == B[J]
                         ? Length[I + 1][J + 1] + 1
                         : std::max(Length[I + 1][J], Length[I][J + 1]);
  return Length;
}

/// Appends the lines only in \p A with "-" and those only in \p B with "+".
void appendChanges(const Lines &A, const Lines &B, Lines &Diff) {
  const auto Length = commonLengths(A, B);
  std::size_t I = 0;
  std::size_t J = 0;
  while (I < A.size() || J < B.size()) {
    if (I < A.size() && J < B.size() && A[I] == B[J]) {
      ++I;
      ++J;
    } else if (J == B.size() ||
               (I < A.size() && Length[I + 1][J] >= Length[I][J + 1])) {
      Diff.push_back("-" + A[I++]);
    } else {
      Diff.push_back("+" + B[J++]);
    }
  }
}

std::string diff(const Lines &Approved, const Lines &Received) {
  const std::size_t Shorter = std::min(Approved.size(), Received.size());
  std::size_t CommonLines = 0;
  while (CommonLines < Shorter &&
         Approved[CommonLines] == Received[CommonLines])
    ++CommonLines;
  Lines Diff = {"@@ line " + std::to_string(CommonLines + 1)};
  for (std::size_t I = CommonLines - std::min(CommonLines, ContextLines);
       I < CommonLines; ++I)
    Diff.push_back(" " + Approved[I]);
  // Bounds the table of lengths, which is quadratic in the number of lines.
  constexpr std::size_t MaxTableLines = 1000;
  const auto LinesAfterCommon = [CommonLines](const Lines &L) {
    const std::size_t End = std::min(L.size(), CommonLines + MaxTableLines);
    return Lines(L.begin() + static_cast<std::ptrdiff_t>(CommonLines),
                 L.begin() + static_cast<std::ptrdiff_t>(End));
  };
  appendChanges(LinesAfterCommon(Approved), LinesAfterCommon(Received), Diff);
  if (Diff.size() > MaxDiffLines) {
    const std::size_t Omitted = Diff.size() - MaxDiffLines;
    Diff.resize(MaxDiffLines);
    Diff.push_back("... and " + std::to_string(Omitted) + " more lines");
  }
  std::string Text;
  for (const std::string &Line : Diff)
    Text += Line + "\n";
  return Text;
}

} // namespace

std::string compareWithApproved(const std::string &File,
                                const std::string &Text) {
  const char *const Approve = std::getenv("CYCLAMENCROFT_APPROVE");
  if (Approve && std::string(Approve) == "1") {
    std::ofstream(File) << Text;
    return {};
  }
  std::ifstream Input(File);
  std::ostringstream Approved;
  Approved << Input.rdbuf();
  if (Input && Approved.str() == Text)
    return {};
  return File + " differs; run tools/approve to update it\n" +
         diff(splitLines(Approved.str()), splitLines(Text));
}

} // namespace cyclamencroft::session
