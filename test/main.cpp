#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <sodium.h>

int main(int argc, char **argv)
{
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    doctest::Context context(argc, argv);
    return context.run();
}
