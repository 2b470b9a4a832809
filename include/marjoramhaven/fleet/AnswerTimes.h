#pragma once

#include "marjoramhaven/base/Time.h"

namespace marjoramhaven {

/// Chooses how long to wait for answers of one service, from how long its answers took lately.
///
/// A service that is silent is asked again soon, with more time at every second try, since it may only have become slow.
class AnswerTimes
{
public:
    /// An answer came after this time.
    void answered(Millis took);
    /// A call had no answer.
    void failed() { ++m_failures; }
    /// The bound for the next call, without the time that the call itself asks the service to wait.
    Millis timeout() const;

private:
    double m_meanMs = 0;
    int m_failures = 0;
};

} // namespace marjoramhaven
