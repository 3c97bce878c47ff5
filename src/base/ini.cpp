#include "base/ini.h"

#include <cxxtools/iniparser.h>
#include <cxxtools/utf8codec.h>

#include <exception>

namespace verbena {

namespace {

// Collects the entries reported by the parser; parse_ini calls next_line() after each line that it passes to
// the parser.
class entry_collector : public cxxtools::IniParser::Event {
public:
    using Event::onKey;
    using Event::onSection;
    using Event::onValue;

    bool onSection(const cxxtools::String& section) override
    {
        m_section = cxxtools::Utf8Codec::encode(section);
        return false;
    }

    bool onKey(const cxxtools::String& key) override
    {
        m_key = cxxtools::Utf8Codec::encode(key);
        m_key_line = m_line;
        return false;
    }

    bool onValue(const cxxtools::String& value) override
    {
        m_document.entries.push_back({m_section, m_key, cxxtools::Utf8Codec::encode(value), m_key_line});
        return false;
    }

    bool onError() override
    {
        m_document.error_line = m_line;
        return true;
    }

    void next_line() { ++m_line; }

    ini_document& document() { return m_document; }

private:
    ini_document m_document;
    std::string m_section;
    std::string m_key;
    int m_line = 1;
    int m_key_line = 0;
};

// Returns the first line that is not valid UTF-8. The decoder may report an error only at later bytes, so the
// text is decoded up to the end of each line in turn.
int line_of_invalid_text(std::string_view text)
{
    int line = 1;
    for (std::size_t end = text.find('\n'); end != std::string_view::npos; end = text.find('\n', end + 1)) {
        try {
            cxxtools::Utf8Codec::decode(text.data(), static_cast<unsigned>(end + 1));
        } catch (const std::exception&) {
            return line;
        }
        ++line;
    }
    return line;
}

} // namespace

ini_document parse_ini(std::string_view text)
{
    cxxtools::String decoded;
    try {
        decoded = cxxtools::Utf8Codec::decode(text.data(), static_cast<unsigned>(text.size()));
    } catch (const std::exception&) {
        ini_document invalid;
        invalid.error_line = line_of_invalid_text(text);
        return invalid;
    }
    entry_collector events;
    cxxtools::IniParser parser(events);
    for (const cxxtools::Char c : decoded) {
        if (parser.parse(c) || events.document().error_line != 0) {
            return std::move(events.document());
        }
        if (c == cxxtools::Char('\n')) {
            events.next_line();
        }
    }
    parser.end();
    return std::move(events.document());
}

} // namespace verbena
