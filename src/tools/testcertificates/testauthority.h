#pragma once

#include "libs/peer/tlsidentity.h"

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <openssl/types.h>

namespace mulberry {

/// A temporary certificate authority for tests and measurements. Its files are in a temporary folder, which the
/// destructor removes. Failures throw std::runtime_error.
class test_authority {
public:
    test_authority();
    test_authority(const test_authority&) = delete;
    test_authority& operator=(const test_authority&) = delete;
    ~test_authority();

    /// Issues a certificate with these subject common names, which expires after the given time. Returns the paths of
    /// the PEM files.
    tls_files issue(const std::vector<std::string>& common_names,
                    std::chrono::seconds valid_for = std::chrono::hours(1));

    /// Issues a certificate for a node and loads it as a TLS identity.
    tls_identity identity(const std::string& node_name);

private:
    struct key_deleter {
        void operator()(EVP_PKEY* key) const;
    };
    struct certificate_deleter {
        void operator()(X509* certificate) const;
    };
    using key_pointer = std::unique_ptr<EVP_PKEY, key_deleter>;
    using certificate_pointer = std::unique_ptr<X509, certificate_deleter>;

    certificate_pointer make_certificate(EVP_PKEY* key, const std::vector<std::string>& common_names,
                                         std::chrono::seconds valid_for, bool is_authority);
    std::string write_certificate(const std::string& name, X509* certificate) const;
    std::string write_key(const std::string& name, EVP_PKEY* key) const;

    std::filesystem::path m_folder;
    key_pointer m_key;
    certificate_pointer m_certificate;
    std::string m_certificate_file;
    long m_last_serial = 0;
};

} // namespace mulberry
