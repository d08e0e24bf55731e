// Draws the bars horizontally to keep scenario names readable. Sizes are in
// pixels.
#include "bench/BenchPlot.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <vector>

namespace cyclamencroft {
namespace {

constexpr int LabelWidth = 190;
constexpr int PlotWidth = 520;
constexpr int ValueWidth = 70;
constexpr int BarHeight = 11;
constexpr int GroupGap = 9;
constexpr int HeaderHeight = 46;
constexpr const char *BarColors[] = {"#2f6f9f", "#c26a2d", "#7a8f3c", "#8a5a9c",
                                     "#666666"};

struct Scale {
  double m_Min;
  double m_Max;

  /// Bar length in pixels; 0 for values at or below m_Min.
  int length(double Value) const {
    if (Value <= m_Min)
      return 0;
    return static_cast<int>(PlotWidth * std::log(Value / m_Min) /
                            std::log(m_Max / m_Min));
  }
};

double valueOf(const BenchRow &Row, PlotMeasure Measure) {
  return Measure == PlotMeasure::P99OverIdeal ? Row.m_Requests.m_P99
                                              : Row.wastedPerTask();
}

Scale scaleOf(boost::span<const BenchRow> Rows, PlotMeasure Measure) {
  const double Min = Measure == PlotMeasure::P99OverIdeal ? 0.9 : 0.01;
  double Max = Min * 10;
  for (const BenchRow &Row : Rows)
    Max = std::max(Max, valueOf(Row, Measure));
  return {Min, Max};
}

const char *titleOf(PlotMeasure Measure) {
  return Measure == PlotMeasure::P99OverIdeal
             ? "p99 of response time over the ideal, requests (log scale)"
             : "wasted messages per useful task (log scale)";
}

std::string text(int X, int Y, const std::string &Value) {
  return "<text x=\"" + std::to_string(X) + "\" y=\"" + std::to_string(Y) +
         "\">" + Value + "</text>\n";
}

std::string bar(int X, int Y, int Width, const char *Color) {
  return "<rect x=\"" + std::to_string(X) + "\" y=\"" + std::to_string(Y) +
         "\" width=\"" + std::to_string(Width) + "\" height=\"" +
         std::to_string(BarHeight - 2) + "\" fill=\"" + Color + "\"/>\n";
}

/// Assigns colours to policies in the order of their first rows.
class Legend {
public:
  const char *colorOf(const std::string &Policy) {
    const auto [Found, New] = m_Indexes.try_emplace(Policy, m_Order.size());
    if (New)
      m_Order.push_back(Policy);
    return BarColors[Found->second % std::size(BarColors)];
  }

  std::string draw(int Y) const {
    constexpr int Step = 120;
    std::string Svg;
    int X = LabelWidth;
    for (std::size_t I = 0; I < m_Order.size(); ++I, X += Step) {
      Svg += bar(X, Y - BarHeight + 2, BarHeight,
                 BarColors[I % std::size(BarColors)]);
      Svg += text(X + BarHeight + 4, Y, m_Order[I]);
    }
    return Svg;
  }

private:
  std::map<std::string, std::size_t> m_Indexes;
  std::vector<std::string> m_Order;
};

std::string formatValue(double Value) {
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%.2f", Value);
  return Buffer;
}

std::string wrap(const std::string &Body, int Height) {
  const int Width = LabelWidth + PlotWidth + ValueWidth;
  return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
         std::to_string(Width) + "\" height=\"" + std::to_string(Height) +
         "\" font-family=\"sans-serif\" font-size=\"11\">\n"
         "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n" +
         Body + "</svg>\n";
}

} // namespace

std::string plotSvg(boost::span<const BenchRow> Rows, PlotMeasure Measure) {
  const Scale Axis = scaleOf(Rows, Measure);
  Legend Colors;
  std::string Bars;
  std::string Group;
  int Y = HeaderHeight;
  for (const BenchRow &Row : Rows) {
    const std::string Name = Row.m_Deployment + " " + Row.m_Scenario;
    if (Name != Group) {
      Y += GroupGap;
      Bars += text(4, Y + BarHeight, Name);
      Group = Name;
    }
    const double Value = valueOf(Row, Measure);
    const int Length = Axis.length(Value);
    Bars += bar(LabelWidth, Y, Length, Colors.colorOf(Row.m_Policy));
    Bars +=
        text(LabelWidth + Length + 4, Y + BarHeight - 2, formatValue(Value));
    Y += BarHeight;
  }
  constexpr int TitleLine = 16;
  constexpr int LegendLine = 34;
  return wrap(text(4, TitleLine, titleOf(Measure)) + Colors.draw(LegendLine) +
                  Bars,
              Y + GroupGap);
}

} // namespace cyclamencroft
