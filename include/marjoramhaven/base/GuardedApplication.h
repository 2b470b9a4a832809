#pragma once

#include <QCoreApplication>
#include <functional>
#include <string>

namespace marjoramhaven {

/// A Qt application whose event loops, in all threads, go on after an event handler has thrown an exception.
///
/// The event is dropped, and the state that its handler was changing may be half changed. The handler set with setErrorHandler() must therefore discard state
/// that can be rebuilt, for example by giving up leadership.
class GuardedApplication : public QCoreApplication
{
    Q_OBJECT

public:
    using ErrorHandler = std::function<void(const std::string &reason)>;

    GuardedApplication(int &argc, char **argv);

    /// Returns the application of this process, or nullptr if it is of another class, as in tests.
    static GuardedApplication *current() { return qobject_cast<GuardedApplication *>(instance()); }
    /// Sets the function to call with the exception's text, on the thread of the event loop. To be called before other threads start event loops.
    void setErrorHandler(ErrorHandler handler) { m_errorHandler = std::move(handler); }

    bool notify(QObject *receiver, QEvent *event) override;

private:
    ErrorHandler m_errorHandler;
};

} // namespace marjoramhaven
