#pragma once

#include <QByteArray>
#include <QIODevice>

namespace marjoramhaven {

/// A request body that can be read only once and not rewound, so that Qt can't send it a second time.
class OneShotBody : public QIODevice
{
    Q_OBJECT

public:
    explicit OneShotBody(QByteArray bytes, QObject *parent = nullptr);

    bool isSequential() const override { return true; }
    qint64 bytesAvailable() const override;
    bool atEnd() const override;

protected:
    qint64 readData(char *data, qint64 maxSize) override;
    qint64 writeData(const char *data, qint64 size) override;

private:
    QByteArray m_bytes;
    qint64 m_position = 0;
};

} // namespace marjoramhaven
