#pragma once

#include "raft/types.h"

#include <cstring>
#include <span>
#include <string>

namespace verbena::raft {

// Appends fixed-size little-endian numbers to a buffer.
class byte_writer {
public:
    explicit byte_writer(bytes& out) : m_out(out) {}

    template <typename T>
    void number(T value)
    {
        for (std::size_t i = 0; i < sizeof(T); ++i) {
            m_out.push_back(static_cast<std::uint8_t>(static_cast<std::uint64_t>(value) >> (8U * i)));
        }
    }

    void raw(std::span<const std::uint8_t> data) { m_out.insert(m_out.end(), data.begin(), data.end()); }

private:
    bytes& m_out;
};

// Reads the encoding of byte_writer. Reading past the end returns zeros or an empty span and clears ok().
class byte_reader {
public:
    explicit byte_reader(std::span<const std::uint8_t> data) : m_data(data) {}

    template <typename T>
    T number()
    {
        if (m_data.size() < sizeof(T)) {
            m_ok = false;
            return T{};
        }
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(T); ++i) {
            value |= static_cast<std::uint64_t>(m_data[i]) << (8U * i);
        }
        m_data = m_data.subspan(sizeof(T));
        return static_cast<T>(value);
    }

    std::span<const std::uint8_t> raw(std::size_t size)
    {
        if (m_data.size() < size) {
            m_ok = false;
            return {};
        }
        const auto part = m_data.first(size);
        m_data = m_data.subspan(size);
        return part;
    }

    std::span<const std::uint8_t> rest() const { return m_data; }
    bool ok() const { return m_ok; }

private:
    std::span<const std::uint8_t> m_data;
    bool m_ok = true;
};

} // namespace verbena::raft
