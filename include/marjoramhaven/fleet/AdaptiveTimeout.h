#pragma once

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Chooses the timeout for calls to one service from its recent response times.
///
/// After a failed call the next timeout is short, to retry soon. Every second retry gets the longest timeout, because the service may only have become slow.
class AdaptiveTimeout
{
public:
    /// Records the duration of an answered call.
    void recordResponse(Millis took);
    /// Records a call without an answer.
    void recordFailure() { ++m_failures; }
    /// Returns the timeout for the next call. The caller adds the time that a long poll asks the service to wait.
    Millis timeout() const;

private:
    double m_meanMs = 0;
    int m_failures = 0;
};

} // namespace marjoramhaven
