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

inline const std::string plain_body = "ok";
inline const std::string plain_chunks = "2\r\nok\r\n0\r\n\r\n";
inline const std::string event_body = "id: 1\ndata: a\n\n";
inline const std::string event_chunks = "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

inline const std::vector<form> forms{{plain_type, "Content-Length: 2\r\n", plain_body},
                                     {plain_type, "Transfer-Encoding: chunked\r\n", plain_chunks},
                                     {plain_type, "", plain_body},
                                     {event_type, "Content-Length: 15\r\n", event_body},
                                     {event_type, "Transfer-Encoding: chunked\r\n", event_chunks},
                                     {event_type, "", event_body}};

// Answers of all forms with each of the lines: at the beginning of the head, between its fields or at its
// end. `fields`: the other fields, each with its line end.
inline std::vector<std::string> answers_with_lines(const std::string& fields)
{
    std::vector<std::string> answers;
    for (std::size_t line = 0; line < lines.size(); ++line) {
        for (std::size_t kind = 0; kind < forms.size(); ++kind) {
            std::vector<std::string> parts{"HTTP/1.1 200 OK\r\n", fields + forms[kind].type,
                                           forms[kind].framing};
            parts[(line + kind) % parts.size()] += lines[line] + "\r\n";
            answers.push_back(parts[0] + parts[1] + parts[2] + "\r\n" + forms[kind].body);
        }
    }
    return answers;
}

// Whole answers with each of the codings: without a length, and before and after one. Where `chunked` stands
// last, the body is sent in chunks.
inline std::vector<std::string> answers_with_codings(const std::string& fields)
{
    std::vector<std::string> answers;
    for (const bool events : {false, true}) {
        const std::string head = "HTTP/1.1 200 OK\r\n" + fields + (events ? event_type : plain_type);
        const std::string& plain = events ? event_body : plain_body;
        const std::string& chunks = events ? event_chunks : plain_chunks;
        const std::string length = "Content-Length: " + std::to_string(plain.size()) + "\r\n";
        for (const std::string& coding : codings) {
            const std::string field = "Transfer-Encoding: " + coding + "\r\n";
            const std::string& body = coding.ends_with("chunked") ? chunks : plain;
            for (const std::string& framing : {field, field + length, length + field}) {
                answers.push_back(head + framing + "\r\n" + body);
            }
        }
    }
    return answers;
}

} // namespace broken_heads
