/* policy_setup - initial document, engines and placement of a policy run.

   Private to the policy bench.  */

#ifndef PARSLEYRILL_BENCH_POLICY_SETUP_H
#define PARSLEYRILL_BENCH_POLICY_SETUP_H

#include "policy_engine.h"
#include "policy_sim.h"

#define BENCH_POOLS 2

/* The index of the pool that serves MODEL.  */
unsigned bench_model_pool (const struct bench_user *user, unsigned model);

/* The monotonic time S seconds after the start of the run.  */
struct timespec bench_time (double s);

void bench_setup_doc (const struct bench_run *run, struct doc *doc);
void bench_setup_doc_clear (struct doc *doc);

/* Creates the engines of both pools, with initial checkpoints on their
   disks.  */
struct bench_engine *bench_setup_engines (const struct bench_user *user,
                                          GRand *rand);

/* Creates one struct place for each pool and announces its engines to it.  */
void bench_setup_cells (const struct bench_run *run, const struct doc *doc,
                        const struct bench_engine *engines,
                        struct place **cells, struct action_list *out);

#endif
