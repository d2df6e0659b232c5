/* badrow - logs rows of the platform's store that cannot be read.

   Any thread.  */

#ifndef PARSLEYRILL_BADROW_H
#define PARSLEYRILL_BADROW_H

/* The row KEY of TABLE is ignored because of WHY.  */
void badrow_log (const char *table, const char *key, const char *why);

#endif
