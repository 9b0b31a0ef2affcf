#include "plugins/calls/requestfingerprint.h"

#include <set>

#include <boost/test/unit_test.hpp>

namespace mulberry {

// Guards against requests with different content that are taken for the same one.
BOOST_AUTO_TEST_CASE(every_field_of_the_content_counts)
{
    const std::set<request_fingerprint> fingerprints{fingerprint_of({"school", "GET", "shop", "/list", "body"}),
                                                     fingerprint_of({"kiosk", "GET", "shop", "/list", "body"}),
                                                     fingerprint_of({"school", "PUT", "shop", "/list", "body"}),
                                                     fingerprint_of({"school", "GET", "desk", "/list", "body"}),
                                                     fingerprint_of({"school", "GET", "shop", "/list?", "body"}),
                                                     fingerprint_of({"school", "GET", "shop", "/list", ""}),
                                                     fingerprint_of({"school", "GET", "shop", "/listbody", ""}),
                                                     fingerprint_of({"schoolGET", "", "shop", "/list", "body"})};
    BOOST_TEST(fingerprints.size() == 8U);
    BOOST_TEST(!fingerprints.contains(0));
}

} // namespace mulberry
