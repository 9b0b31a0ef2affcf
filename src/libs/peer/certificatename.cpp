#include "libs/peer/certificatename.h"

#include <openssl/x509.h>

namespace mulberry::detail {

std::optional<std::string> common_name(const X509* certificate)
{
    const X509_NAME* subject = X509_get_subject_name(certificate);
    const int first = X509_NAME_get_index_by_NID(subject, NID_commonName, -1);
    if (first < 0 || X509_NAME_get_index_by_NID(subject, NID_commonName, first) >= 0)
        return std::nullopt;
    unsigned char* text = nullptr;
    const int length = ASN1_STRING_to_UTF8(&text, X509_NAME_ENTRY_get_data(X509_NAME_get_entry(subject, first)));
    if (length < 0)
        return std::nullopt;
    std::string name(reinterpret_cast<const char*>(text), static_cast<std::size_t>(length));
    OPENSSL_free(text);
    if (name.empty() || name.find('\0') != std::string::npos)
        return std::nullopt;
    return name;
}

} // namespace mulberry::detail
