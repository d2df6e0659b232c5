/* field - syntax of HTTP fields, RFC 9110, section 5.

   Pure functions, any thread.  Strings have a length and no end.  */

#ifndef PARSLEYRILL_FIELD_H
#define PARSLEYRILL_FIELD_H

#include <stdbool.h>
#include <stddef.h>

bool field_is_token (const char *text, size_t length);
/* Control characters other than the tab.  */
bool field_has_control (const char *text, size_t length);
/* Whether TEXT is a number that fits into 64 bits.  */
bool field_is_length (const char *text, size_t length);
/* Ignores case.  */
bool field_equals (const char *text, size_t length, const char *name);

#endif
