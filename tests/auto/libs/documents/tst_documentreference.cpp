#include "libs/documents/documentreference.h"

#include <fstream>
#include <iterator>

#include <boost/test/unit_test.hpp>

namespace mulberry {

// Guards against a reference that was not renewed after a change of a key. Renew it with
// "mulberryctl reference > docs/reference.md".
BOOST_AUTO_TEST_CASE(reference_page_is_up_to_date)
{
    std::ifstream stream(MULBERRY_REFERENCE_PAGE);
    const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    BOOST_TEST(text == reference_page());
}

} // namespace mulberry
