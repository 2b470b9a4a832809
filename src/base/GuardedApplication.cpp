#include "marjoramhaven/base/GuardedApplication.h"

#include <exception>

namespace marjoramhaven {

GuardedApplication::GuardedApplication(int &argc, char **argv)
    : QCoreApplication(argc, argv)
{
}

bool GuardedApplication::notify(QObject *receiver, QEvent *event)
{
    try {
        return QCoreApplication::notify(receiver, event);
    } catch (const std::exception &ec) {
        if (m_errorHandler) {
            m_errorHandler(ec.what());
        }
        return false;
    }
}

} // namespace marjoramhaven
