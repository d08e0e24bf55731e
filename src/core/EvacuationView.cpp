// Lookup and text form of a view.
#include "core/EvacuationView.h"

#include <algorithm>

namespace cyclamencroft {

bool EvacuationView::contains(std::string_view Domain) const {
  return std::binary_search(m_Domains.begin(), m_Domains.end(), Domain);
}

std::string describe(const EvacuationView &View) {
  std::string Text;
  for (const std::string &Domain : View.m_Domains)
    Text += (Text.empty() ? "" : ",") + Domain;
  return Text.empty() ? "none" : Text;
}

} // namespace cyclamencroft
