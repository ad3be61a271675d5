#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace persimmonrail {

// One line of a header or trailer.
struct field_line
{
    std::string name;
    std::string value;
};

// An HTTP message, part by part.
struct generated_message
{
    std::string startLine;
    // All fields but those of the framing.
    std::vector<field_line> fields;
    std::string body;
    bool isChunked = false;
    // Sent only if the message is chunked.
    std::vector<field_line> trailers;
    // Bytes that are missing at the end of the message.
    size_t cutBytes = 0;

    // Returns the message as it is sent.
    std::string text() const;
    // Returns the lines whose names are `name` to some reader.
    std::vector<field_line> linesOf(const std::string &name) const;
};

// Changes valid messages in ways in which two readers may come to read different values: lines are
// repeated, spelled otherwise, listed in Connection, folded, moved into the trailer or cut. Equal
// seeds generate equal messages on every machine. Not thread safe.
class head_generator
{
public:
    // `names` are the fields that the changes are about.
    head_generator(uint64_t seed, std::vector<std::string> names);

    // Returns the message with 1 to 3 changes.
    generated_message change(generated_message message);
    // Returns a random number in [0, limit); `limit` must be positive.
    size_t below(size_t limit);

private:
    void changeOnce(generated_message &message);
    // Returns a line of one of the names, with a value of another sender.
    field_line otherLine();
    // Returns the name with '-' as '_' or letters in the other case.
    std::string respell(std::string name);
    void insertLine(generated_message &message, field_line line);
    void listInConnection(generated_message &message);
    // Breaks the syntax of the line.
    void breakLine(field_line &line);
    void moveToTrailer(generated_message &message, size_t position);

    const std::vector<std::string> m_names;
    std::mt19937_64 m_engine;
};

} // namespace persimmonrail
