// Derives the parsed views from the accepted section texts.

#ifndef DOCUMENT_SRC_DOCUMENT_VIEWS_H_
#define DOCUMENT_SRC_DOCUMENT_VIEWS_H_

#include <map>

#include "document/document.h"
#include "wire/ids.h"

namespace sassafras::document {

// Parses all sections. Sections that the platform section does not declare for
// their current owner are left out.
Views BuildViews(const std::map<wire::SectionId, Section>& sections);

}  // namespace sassafras::document

#endif  // DOCUMENT_SRC_DOCUMENT_VIEWS_H_
