#pragma once

#include <cstddef>

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// How long a caller waits until its record has been appended to the log and read back.
constexpr Millis RecordTimeout {5000};
/// Most entries in the answer to a query for a list.
constexpr std::size_t MaxListedItems = 1000;

} // namespace marjoramhaven
