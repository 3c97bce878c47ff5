#include "base/ini.h"

#include <cxxtools/iniparser.h>
#include <cxxtools/utf8codec.h>

namespace verbena {

namespace {

// Collects the parser's events; parse_ini keeps m_line up to date while it feeds characters.
class collector : public cxxtools::IniParser::Event {
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

} // namespace

ini_document parse_ini(std::string_view text)
{
    collector events;
    cxxtools::IniParser parser(events);
    const cxxtools::String decoded =
        cxxtools::Utf8Codec::decode(text.data(), static_cast<unsigned>(text.size()));
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
