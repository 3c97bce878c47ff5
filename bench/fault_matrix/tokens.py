"""Computes the answer text of the stand-in engine (standin/tokens.h) with the system's libxxhash."""
import ctypes

_library = ctypes.CDLL("libxxhash.so.0")
_hash = _library.XXH3_64bits
_hash.restype, _hash.argtypes = ctypes.c_uint64, [ctypes.c_char_p, ctypes.c_size_t]
_seeded = _library.XXH3_64bits_withSeed
_seeded.restype, _seeded.argtypes = ctypes.c_uint64, [ctypes.c_char_p, ctypes.c_size_t, ctypes.c_uint64]


def answer_text(prompt, count):
    data = prompt.encode()
    seed = _hash(data, len(data))
    return "".join(f"w{i}-{_seeded(i.to_bytes(4, 'little'), 4, seed) & 0xFFFF:04x} " for i in range(count))
