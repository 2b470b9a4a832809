#include "OneShotBody.h"

#include <algorithm>
#include <cstring>

namespace marjoramhaven {

OneShotBody::OneShotBody(QByteArray bytes, QObject *parent)
    : QIODevice(parent)
    , m_bytes(std::move(bytes))
{
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

qint64 OneShotBody::bytesAvailable() const
{
    return m_bytes.size() - m_position + QIODevice::bytesAvailable();
}

bool OneShotBody::atEnd() const
{
    return m_position >= m_bytes.size();
}

qint64 OneShotBody::readData(char *data, qint64 maxSize)
{
    const qint64 n = std::min<qint64>(maxSize, m_bytes.size() - m_position);
    if (n <= 0) {
        return -1;
    }
    std::memcpy(data, m_bytes.constData() + m_position, static_cast<std::size_t>(n));
    m_position += n;
    return n;
}

qint64 OneShotBody::writeData(const char * /*data*/, qint64 /*size*/)
{
    return -1;
}

} // namespace marjoramhaven
