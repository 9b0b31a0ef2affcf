#include "libs/documents/documentreference.h"

#include "libs/documents/daemonsettings.h"

namespace mulberry {

std::string reference_page()
{
    return "# Documents and settings\n\n"
           "Output of `mulberryctl reference`, made from the tables that the parsers use. Unknown keys are refused.\n\n"
           "## Service document\n\n" +
           service_document_reference() + "\n## Organisations document\n\n" + organisations_document_reference() +
           "\n## Settings file of mulberryd\n\n"
           "Each key is also an option of the command line, with hyphens in place of underscores.\n\n" +
           settings_reference();
}

} // namespace mulberry
