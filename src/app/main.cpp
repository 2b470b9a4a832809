#include <QCoreApplication>

#include "marjoramhaven/cli/Commands.h"

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    return marjoramhaven::runProgram(argc, argv);
}
