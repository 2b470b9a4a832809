#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

namespace marjoramhaven::test {

/// Makes malformed variants of a valid document, the same ones for the same seed.
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Returns the document with one to three faults: odd values, deep nesting, repeated, missing or changed bytes.
    std::string mutate(std::string text)
    {
        for (auto faults = 1 + below(3); faults > 0; --faults) {
            const auto at = below(text.size() + 1);
            const auto n = std::min<std::size_t>(text.size() - at, below(24));
            switch (below(5)) {
            case 0:
                text.replace(at, n, OddValues[below(OddValues.size())]);
                break;
            case 1:
                text.insert(at, nested());
                break;
            case 2:
                text.insert(at, text.substr(at, n));
                break;
            case 3:
                text.resize(at);
                break;
            default:
                if (at < text.size()) {
                    text[at] = static_cast<char>(below(256));
                }
                break;
            }
            replaceNumber(text);
        }
        return text;
    }

    /// Returns opening brackets, as many as a document of 2 MB may hold at most.
    static std::string deepArray(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

private:
    static constexpr std::array<const char *, 16> OddValues {"9223372036854775808",
                                                             "18446744073709551616",
                                                             "1e400",
                                                             "-1",
                                                             "-0",
                                                             "\"NaN\"",
                                                             "null",
                                                             "{}",
                                                             "[]",
                                                             "\"\"",
                                                             "true",
                                                             "\"\xff\xfe\"",
                                                             "4294967376",
                                                             "65536",
                                                             "1.5",
                                                             "\"10.0.0.1:4294967376\""};

    std::size_t below(std::size_t n) { return n == 0 ? 0 : m_random() % n; }

    std::string nested()
    {
        constexpr std::size_t MaxDepth = 100'000;
        const auto depth = 10 + below(MaxDepth);
        return below(2) == 0 ? deepArray(depth) : std::string(depth, '\x91');
    }

    // Replaces one number of the document, which keeps the document well-formed.
    void replaceNumber(std::string &text)
    {
        const auto begin = text.find_first_of("0123456789", below(text.size() + 1));
        if (begin != std::string::npos && below(2) == 0) {
            const auto end = text.find_first_not_of("0123456789.", begin);
            text.replace(begin, std::min(end, text.size()) - begin, OddValues[below(OddValues.size())]);
        }
    }

    std::mt19937_64 m_random;
};

/// Returns the number of mutations for each sample: the environment variable FUZZ_COUNT, or few enough for a short test.
inline int fuzzCount()
{
    constexpr int Short = 3000;
    const char *text = std::getenv("FUZZ_COUNT");
    return text == nullptr ? Short : std::atoi(text);
}

} // namespace marjoramhaven::test
