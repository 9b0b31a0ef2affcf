#include "libs/documents/organisationsdocument.h"

#include "libs/base/asyncerror.h"
#include "libs/documents/checks.h"
#include "libs/documents/documentreference.h"
#include "libs/documents/hextext.h"
#include "libs/documents/tablereader.h"

#include <algorithm>
#include <array>
#include <set>

namespace mulberry {

namespace {

constexpr std::string_view organisations_key = "organisations";
constexpr std::string_view keys_key = "keys";
constexpr std::array document_nested_keys{organisations_key};
constexpr std::array organisation_nested_keys{keys_key};

/// Upper bound of an organisation's rate in requests per second and of its burst in requests.
constexpr double max_rate_or_burst = 1'000'000;
/// Lower bound of the rate in requests per second.
constexpr double min_rate = 0.001;

/// Number of different salts. Looking up a key requires one hash computation per salt, so the key ring accepts no more
/// than this.
constexpr std::size_t max_salts = 16;

detail::field<organisation_key> hex_field(std::string key, std::vector<std::uint8_t> organisation_key::*member,
                                          std::size_t size, std::string meaning)
{
    return required(
        detail::field<organisation_key>{{std::move(key),
                                         detail::value_kind::text,
                                         fmt::format("{} hex digits", size * 2),
                                         false,
                                         {},
                                         std::move(meaning)},
                                        [member, size](organisation_key& target, const detail::field_value& value) {
                                            // The message does not contain the text, because an operator may have
                                            // pasted a secret by mistake.
                                            (target.*member).resize(size);
                                            if (!detail::from_hex(std::get<std::string>(value), target.*member))
                                                return fmt::format("must be {} hex digits", size * 2);
                                            return std::string();
                                        }});
}

const detail::field_table<organisations_document>& document_fields()
{
    static const detail::field_table<organisations_document> fields{
        detail::duration_field("view_age_limit", duration_text(default_view_age_limit),
                               &organisations_document::view_age_limit, default_view_age_limit, max_view_age_limit,
                               "Keyed requests are refused when the node's view of the documents is older. A withdrawn "
                               "key may remain usable for up to this time at a node that cannot refresh its view."),
    };
    return fields;
}

const detail::field_table<organisation>& organisation_fields()
{
    static const detail::field_table<organisation> fields{
        required(detail::text_field("name", "name", "", &organisation::name, detail::check_name,
                                    "Name of the organisation, unique in the document.")),
        required(detail::number_field("rate", "requests/s", &organisation::rate, min_rate, max_rate_or_burst,
                                      "Requests per second across all VMs together.")),
        required(detail::number_field("burst", "requests", &organisation::burst, 1, max_rate_or_burst,
                                      "Number of requests that may arrive at once, across all VMs together.")),
    };
    return fields;
}

const detail::field_table<organisation_key>& key_fields()
{
    static const detail::field_table<organisation_key> fields{
        required(detail::text_field("id", "name", "", &organisation_key::id, detail::check_name,
                                    "Name of the key for operators, unique in the document; not a secret.")),
        hex_field("salt", &organisation_key::salt, organisation_key::salt_bytes,
                  "Salt of the hash; a document has at most 16 different salts."),
        hex_field("hash", &organisation_key::hash, organisation_key::hash_bytes, "Hash of the key, keyed by the salt."),
    };
    return fields;
}

class organisations_reader {
public:
    explicit organisations_reader(detail::table_reader& reader) : m_reader(reader) {}

    organisations_document read()
    {
        organisations_document document;
        m_reader.read(document, document_fields(), document_nested_keys);
        for (detail::table_reader& table : m_reader.sub_tables(organisations_key))
            document.organisations.push_back(read_organisation(table));
        return document;
    }

private:
    organisation read_organisation(detail::table_reader& table)
    {
        organisation read;
        table.read(read, organisation_fields(), organisation_nested_keys);
        if (!read.name.empty() && !m_names.insert(read.name).second)
            table.report("name", fmt::format("\"{}\" is already the name of another organisation", read.name));
        for (detail::table_reader& key_table : table.sub_tables(keys_key))
            read.keys.push_back(read_key(key_table));
        return read;
    }

    organisation_key read_key(detail::table_reader& table)
    {
        organisation_key read;
        table.read(read, key_fields(), {});
        if (!read.id.empty() && !m_key_ids.insert(read.id).second)
            table.report("id", fmt::format("\"{}\" is already the id of another key", read.id));
        if (read.salt.empty() || read.hash.empty())
            return read;
        m_salts.insert(read.salt);
        if (m_salts.size() > max_salts) {
            table.report(
                "salt",
                fmt::format(
                    "is salt number {} of the document; more than {} different salts would slow down every request",
                    m_salts.size(), max_salts));
        }
        if (!m_hashes.insert({read.salt, read.hash}).second)
            table.report("hash", "is already the hash of another key");
        return read;
    }

    detail::table_reader& m_reader;
    std::set<std::string> m_names;
    std::set<std::string> m_key_ids;
    std::set<std::vector<std::uint8_t>> m_salts;
    std::set<std::pair<std::vector<std::uint8_t>, std::vector<std::uint8_t>>> m_hashes;
};

} // namespace

const organisation* organisations_document::find(std::string_view name) const
{
    const auto found = std::ranges::find(organisations, name, &organisation::name);
    return found == organisations.end() ? nullptr : &*found;
}

leaf::result<organisations_document> parse_organisations_document(std::string_view text, std::string_view file)
{
    std::vector<document_error> errors;
    organisations_document document;
    if (const auto table = detail::parse_toml(text, file, errors)) {
        detail::table_reader reader(*table, std::string(file), "", errors);
        document = organisations_reader(reader).read();
    }
    if (!errors.empty())
        return captured_error<organisations_document>(detail::sort_by_line(std::move(errors)));
    return document;
}

std::string to_toml(const organisations_document& document)
{
    // Names, ids and hexadecimal texts contain no characters that need to be escaped.
    std::string text = fmt::format("view_age_limit = \"{}\"\n", duration_text(document.view_age_limit));
    for (const organisation& entry : document.organisations) {
        text += fmt::format("\n[[organisations]]\nname = \"{}\"\nrate = {}\nburst = {}\n", entry.name, entry.rate,
                            entry.burst);
        for (const organisation_key& key : entry.keys) {
            text += fmt::format("\n[[organisations.keys]]\nid = \"{}\"\nsalt = \"{}\"\nhash = \"{}\"\n", key.id,
                                detail::to_hex(key.salt), detail::to_hex(key.hash));
        }
    }
    return text;
}

std::string organisations_document_reference()
{
    return detail::reference_table(detail::field_infos(document_fields())) +
           "\nEach organisation is a table `[[organisations]]`:\n\n" +
           detail::reference_table(detail::field_infos(organisation_fields())) +
           "\nEach key of an organisation is a table `[[organisations.keys]]`:\n\n" +
           detail::reference_table(detail::field_infos(key_fields()));
}

} // namespace mulberry
