/* The functions of the C library behind those that a preloaded library defines. They are looked up when the library is loaded:
 * dlsym takes a lock, and a signal handler of the program that calls one of them may have interrupted the holder of that lock. */
#include <dlfcn.h>

#define DECLARE_REAL(name) static __typeof__(&name) real_##name;
#define FIND_REAL(name) real_##name = (__typeof__(&name))dlsym(RTLD_NEXT, #name);

/* Before this library is initialized, no signal handler of the program is installed. */
#define REAL(name) (real_##name ? real_##name : (__typeof__(&name))dlsym(RTLD_NEXT, #name))

/* Declares and finds the functions of a list, which is a macro that applies its parameter to each name. */
#define REAL_FUNCTIONS(list)                                                     \
    list(DECLARE_REAL)                                                           \
    __attribute__((constructor(101))) static void find_real_functions(void) {    \
        list(FIND_REAL)                                                          \
    }
