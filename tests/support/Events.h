#pragma once

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <functional>

namespace marjoramhaven::test {

/// Runs the event loop until the condition holds. Returns false when it does not hold within `withinMs` milliseconds.
inline bool waitFor(const std::function<bool()> &condition, int withinMs)
{
    QEventLoop loop;
    QTimer poll;
    QTimer limit;
    limit.setSingleShot(true);
    QObject::connect(&poll, &QTimer::timeout, &loop, [&]() {
        if (condition()) {
            loop.quit();
        }
    });
    QObject::connect(&limit, &QTimer::timeout, &loop, &QEventLoop::quit);
    poll.start(5);
    limit.start(withinMs);
    if (!condition()) {
        loop.exec();
    }
    return condition();
}

} // namespace marjoramhaven::test
