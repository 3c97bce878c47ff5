#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace verbena::control {

// Packs a native table. Equal values give equal bytes.
template <typename Native>
std::vector<std::uint8_t> pack(const Native& value)
{
    using table = typename Native::TableType;
    flatbuffers::FlatBufferBuilder builder(1024);
    builder.Finish(table::Pack(builder, &value));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

// Verified view of a packed table; null when the bytes are not a valid `Table`.
template <typename Table>
const Table* view(std::span<const std::uint8_t> bytes)
{
    // A snapshot with a million records exceeds the verifier's default limit of one million tables.
    constexpr flatbuffers::uoffset_t max_depth = 32;
    constexpr flatbuffers::uoffset_t max_tables = 16'000'000;
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), max_depth, max_tables);
    if (!verifier.VerifyBuffer<Table>(nullptr)) {
        return nullptr;
    }
    return flatbuffers::GetRoot<Table>(bytes.data());
}

// Native copy of a packed table; null when the bytes are not a valid `Table`.
template <typename Table>
std::unique_ptr<typename Table::NativeTableType> unpack(std::span<const std::uint8_t> bytes)
{
    const Table* table = view<Table>(bytes);
    if (table == nullptr) {
        return nullptr;
    }
    return std::unique_ptr<typename Table::NativeTableType>(table->UnPack());
}

} // namespace verbena::control
