#pragma once

#include <string>
#include <vector>

// Answers whose heads break HTTP, for all that reads answers.
namespace broken_heads {

// Statuses that end no request, as they stand in a status line.
inline const std::vector<std::string> statuses{
    "000 Odd", "000", "000 ", "001 Odd", "099 Odd", "100 Odd", "101 Odd", "199 Odd",  "600 Odd",
    "999 Odd", "20",  "20 ",  "20 Odd",  "+20 Odd", "2x0 Odd", "0 Odd",   "2000 Odd", ""};

inline std::string line_with(char byte)
{
    return std::string("X") + byte + "Y: 1";
}

// Lines that are no fields: their names are missing or hold a blank, a control byte or another byte that no
// name has, or their values hold a control byte.
inline const std::vector<std::string> lines{line_with(' '),
                                            line_with('\t'),
                                            line_with('\0'),
                                            line_with('\x01'),
                                            line_with('\x0b'),
                                            line_with('\x7f'),
                                            line_with('\xe9'),
                                            "X-Y : 1",
                                            "X-Y\t: 1",
                                            "Content-Length : 2",
                                            "Transfer-Encoding : chunked",
                                            ": 1",
                                            "X-Y",
                                            "X-Y: 1\x01",
                                            "X-Y: 1\x7f",
                                            " X-Y: 1",
                                            "\tX-Y: 1",
                                            " Content-Length: 2",
                                            " Transfer-Encoding: chunked",
                                            " "};

// Codings of a body that nobody has asked for, or that are none.
inline const std::vector<std::string> codings{"gzip",
                                              "identity",
                                              "chunked, gzip",
                                              "gzip, chunked",
                                              "x",
                                              "",
                                              "gzip\r\nTransfer-Encoding: chunked",
                                              "chunked\r\nTransfer-Encoding: chunked"};

inline const std::string plain_type = "Content-Type: text/plain\r\n";
inline const std::string event_type = "Content-Type: text/event-stream\r\n";

// The kinds of answers: their type, how their end is known, and their bodies.
struct form {
    std::string type;
    std::string framing;
    std::string body;
};

inline const std::vector<form> forms{
    {plain_type, "Content-Length: 2\r\n", "ok"},
    {plain_type, "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"},
    {plain_type, "", "ok"},
    {event_type, "Transfer-Encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"},
    {event_type, "", "id: 1\ndata: a\n\n"}};

// Answers of all forms with each of the lines: at the beginning of the head, between its fields or at its
// end. `fields`: the other fields, each with its line end.
inline std::vector<std::string> answers_with_lines(const std::string& fields)
{
    std::vector<std::string> answers;
    for (const std::string& line : lines) {
        for (const form& kind : forms) {
            std::vector<std::string> parts{"HTTP/1.1 200 OK\r\n", fields + kind.type, kind.framing};
            parts[answers.size() % parts.size()] += line + "\r\n";
            answers.push_back(parts[0] + parts[1] + parts[2] + "\r\n" + kind.body);
        }
    }
    return answers;
}

// Answers with each of the codings: without a length, and before and after one.
inline std::vector<std::string> answers_with_codings(const std::string& fields)
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string length = "Content-Length: 2\r\n";
    std::vector<std::string> answers;
    for (const std::string& type : {plain_type, event_type}) {
        for (const std::string& coding : codings) {
            const std::string field = "Transfer-Encoding: " + coding + "\r\n";
            for (const std::string& framing : {field, field + length, length + field}) {
                answers.push_back(head + type + framing + "\r\nok");
            }
        }
    }
    return answers;
}

} // namespace broken_heads
