// Text form of job ids.
#include "core/JobId.h"

#include <cstddef>

namespace cyclamencroft {
namespace {

constexpr std::size_t DigitCount = 16;
constexpr unsigned BitsPerDigit = 4;
constexpr unsigned DigitMask = 0xf;
constexpr std::string_view LowerCaseDigits = "0123456789abcdef";
constexpr std::string_view UpperCaseDigits = "0123456789ABCDEF";

} // namespace

std::string toHex(const JobId &Id) {
  std::string Text(DigitCount, '0');
  for (std::size_t Digit = 0; Digit < DigitCount; ++Digit) {
    const auto Value = (Id.m_Number >> (Digit * BitsPerDigit)) & DigitMask;
    const bool UpperCase = ((Id.m_UpperCase >> Digit) & 1U) != 0;
    Text[DigitCount - 1 - Digit] =
        (UpperCase ? UpperCaseDigits : LowerCaseDigits)[Value];
  }
  return Text;
}

std::optional<JobId> parseJobId(std::string_view Text) {
  if (Text.size() != DigitCount)
    return std::nullopt;
  JobId Id;
  for (const char Letter : Text) {
    std::size_t Value = LowerCaseDigits.find(Letter);
    const bool UpperCase = Value == std::string_view::npos;
    if (UpperCase)
      Value = UpperCaseDigits.find(Letter);
    if (Value == std::string_view::npos)
      return std::nullopt;
    Id.m_Number = (Id.m_Number << BitsPerDigit) | Value;
    Id.m_UpperCase = static_cast<std::uint16_t>(
        (unsigned{Id.m_UpperCase} << 1U) | (UpperCase ? 1U : 0U));
  }
  return Id;
}

} // namespace cyclamencroft
