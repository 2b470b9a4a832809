#pragma once

#include <QByteArray>

#include "WireJson.h"
#include "marjoramhaven/http/HttpServer.h"

namespace marjoramhaven::test {

/// Returns a response of a stand-in with a JSON body.
inline HttpResponse json(int status, const platform::Json &body)
{
    HttpResponse out;
    out.status = status;
    out.body = QByteArray::fromStdString(body.dump());
    return out;
}

} // namespace marjoramhaven::test
