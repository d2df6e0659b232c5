/* quota_credit - what a node holds of a customer's quota, see quota.h, and how
   much it uses.

   Credit is kept with the time from which it counts.  It lapses
   QUOTA_CREDIT_MS later, and is due to be returned some time before, so that
   what is used in a window was issued in it or shortly before.

   No I/O; one thread.  */

#ifndef PARSLEYRILL_QUOTA_CREDIT_H
#define PARSLEYRILL_QUOTA_CREDIT_H

#include <stdbool.h>
#include <time.h>
#include <glib.h>

/* What is used in a window may exceed the quota by that of so long.  The
   bounds allow 0.9 s of the rate, with a window of 8 s and a burst of 1 s.  */
#define QUOTA_CREDIT_MS 800
#define QUOTA_CREDIT_RETURN_MS 650

struct quota_taken
{
  double amount;
  struct timespec at; /* not issued before; zero: not to be returned */
};

struct quota_credit
{
  GArray *lots; /* struct quota_taken, oldest first */
  double used;  /* decayed sum */
  struct timespec used_at;
};

void quota_credit_init (struct quota_credit *credit);
void quota_credit_clear (struct quota_credit *credit);

double quota_credit_balance (struct quota_credit *credit, struct timespec now);
void quota_credit_add (struct quota_credit *credit, double amount,
                       struct timespec at);
/* Takes AMOUNT, all or nothing.  */
bool quota_credit_take (struct quota_credit *credit, double amount,
                        struct timespec now, struct quota_taken *taken);

/* Takes what is due to be returned; false: nothing.  Call until false.  */
bool quota_credit_take_due (struct quota_credit *credit, struct timespec now,
                            struct quota_taken *due);
/* When something is due to be returned; zero: never.  */
struct timespec quota_credit_due_at (const struct quota_credit *credit);

/* Counts AMOUNT as used, and the use per second of late.  */
void quota_credit_note_use (struct quota_credit *credit, double amount,
                            struct timespec now);
double quota_credit_use_per_s (const struct quota_credit *credit,
                               struct timespec now);

#endif
