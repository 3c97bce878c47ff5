#pragma once

#include <string>
#include <vector>

// Answers whose heads break HTTP, for all that reads answers.
namespace broken_heads {

// Statuses that end no request, as they stand in a status line.
inline const std::vector<std::string> statuses{
    "000 Odd", "000", "000 ", "001 Odd", "099 Odd", "100 Odd", "101 Odd", "199 Odd",  "600 Odd",
    "999 Odd", "20",  "20 ",  "20 Odd",  "+20 Odd", "2x0 Odd", "0 Odd",   "2000 Odd", ""};

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

} // namespace broken_heads
