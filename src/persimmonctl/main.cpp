#include "persimmonrail/cli/command_line.h"

#include <iostream>
#include <string>
#include <vector>

#include <unistd.h>

int main(int argc, char **argv)
{
    using namespace persimmonrail;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(
        runCommandLine(arguments, environmentFrom(environ), makeCliHooks(), std::cout, std::cerr));
}
