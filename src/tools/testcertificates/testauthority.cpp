#include "tools/testcertificates/testauthority.h"

#include <cstdio>
#include <cstdlib>
#include <stdexcept>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

namespace mulberry {

namespace {

/// Certificates become valid this long before they are issued, because the clocks of the two peers may differ.
constexpr std::chrono::hours backdating_interval{1};

void require(bool condition, const char* what)
{
    if (!condition)
        throw std::runtime_error(what);
}

std::filesystem::path make_folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "mulberry-certificates-XXXXXX").string();
    require(mkdtemp(pattern.data()) != nullptr, "temporary folder for certificates cannot be created");
    return pattern;
}

template <typename Write>
std::string write_file(const std::filesystem::path& path, Write write)
{
    const std::unique_ptr<FILE, int (*)(FILE*)> file(std::fopen(path.c_str(), "w"), std::fclose);
    require(file != nullptr && write(file.get()) == 1, "certificate file cannot be written");
    return path.string();
}

void add_extension(X509* certificate, int nid, const char* value)
{
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, nid, value);
    require(extension != nullptr, "certificate extension cannot be created");
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

void add_common_name(X509* certificate, const std::string& name)
{
    std::vector<unsigned char> bytes(name.begin(), name.end());
    X509_NAME_add_entry_by_NID(X509_get_subject_name(certificate), NID_commonName, MBSTRING_UTF8, bytes.data(),
                               static_cast<int>(bytes.size()), -1, 0);
}

} // namespace

void test_authority::key_deleter::operator()(EVP_PKEY* key) const
{
    EVP_PKEY_free(key);
}

void test_authority::certificate_deleter::operator()(X509* certificate) const
{
    X509_free(certificate);
}

test_authority::test_authority() : m_folder(make_folder()), m_key(EVP_EC_gen("P-256"))
{
    m_certificate = make_certificate(m_key.get(), {"test authority"}, std::chrono::hours(1), true);
    m_certificate_file = write_certificate("authority", m_certificate.get());
}

test_authority::~test_authority()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

tls_files test_authority::issue(const std::vector<std::string>& common_names, std::chrono::seconds valid_for)
{
    const key_pointer key(EVP_EC_gen("P-256"));
    const certificate_pointer certificate = make_certificate(key.get(), common_names, valid_for, false);
    const std::string name = "node" + std::to_string(m_last_serial);
    return {m_certificate_file, write_certificate(name, certificate.get()), write_key(name, key.get())};
}

tls_identity test_authority::identity(const std::string& node_name)
{
    auto loaded = tls_identity::load(issue({node_name}));
    require(static_cast<bool>(loaded), "issued certificate cannot be loaded");
    return *loaded;
}

test_authority::certificate_pointer test_authority::make_certificate(EVP_PKEY* key,
                                                                     const std::vector<std::string>& common_names,
                                                                     std::chrono::seconds valid_for, bool is_authority)
{
    certificate_pointer certificate_owner(X509_new());
    require(key != nullptr && certificate_owner != nullptr, "certificate cannot be created");
    X509* certificate = certificate_owner.get();
    X509_set_version(certificate, X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), ++m_last_serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -std::chrono::seconds(backdating_interval).count());
    X509_gmtime_adj(X509_getm_notAfter(certificate), valid_for.count());
    for (const std::string& name : common_names)
        add_common_name(certificate, name);
    const X509* issuer = is_authority ? certificate : m_certificate.get();
    X509_set_issuer_name(certificate, X509_get_subject_name(issuer));
    X509_set_pubkey(certificate, key);
    add_extension(certificate, NID_basic_constraints, is_authority ? "critical,CA:TRUE" : "critical,CA:FALSE");
    require(X509_sign(certificate, m_key.get(), EVP_sha256()) > 0, "certificate cannot be signed");
    return certificate_owner;
}

std::string test_authority::write_certificate(const std::string& name, X509* certificate) const
{
    return write_file(m_folder / (name + ".pem"), [&](FILE* file) { return PEM_write_X509(file, certificate); });
}

std::string test_authority::write_key(const std::string& name, EVP_PKEY* key) const
{
    return write_file(m_folder / (name + ".key"), [&](FILE* file) {
        return PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    });
}

} // namespace mulberry
