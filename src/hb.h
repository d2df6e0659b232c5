/* hb - happens-before annotations for ThreadSanitizer.

   ThreadSanitizer does not see the memory ordering that Concurrency Kit
   implements in assembly.  The macros do nothing in other builds.  */

#ifndef PARSLEYRILL_HB_H
#define PARSLEYRILL_HB_H

#if defined(__SANITIZE_THREAD__)
void __tsan_acquire (void *addr);
void __tsan_release (void *addr);
#define HB_RELEASE(p) __tsan_release (p)
#define HB_ACQUIRE(p) __tsan_acquire (p)
#else
#define HB_RELEASE(p) ((void)(p))
#define HB_ACQUIRE(p) ((void)(p))
#endif

#endif
