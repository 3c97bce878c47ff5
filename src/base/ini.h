#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace verbena {

// One `key = value` line of an INI file with its section and line number.
struct ini_entry {
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

// Entries in file order. error_line is the first line that is not valid INI, or 0 when there is none.
struct ini_document {
    std::vector<ini_entry> entries;
    int error_line = 0;
};

// Parses INI text with the cxxtools parser. Only standard types appear here because the headers of
// cxxtools 3.0 do not compile as C++20: ini.cpp is the one file that is built as C++17.
ini_document parse_ini(std::string_view text);

} // namespace verbena
