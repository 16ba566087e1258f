/* What an entry may tell of a request that may run once.
 *
 * The entry connects, writes, and waits. The connection may not come about; it may be
 * reset or the wait may end at any moment, before or after the server has read the
 * request; a request that was written may be read long after the entry gave up. The
 * server runs what it reads, or rejects it and says so. It may answer what it ran with
 * a failure. The entry sends again only what never left it or was rejected, and tells
 * "not run" of nothing else.
 *
 * MUTANT_FAILURE: a failure that the server answered is followed by another send.
 * MUTANT_RESET: a reset before any answer counts as never sent.
 * MUTANT_TIMEOUT: a wait that ended without an answer is told as not run.
 */

#define SENDS 2

mtype = { nothing, not_run, unknown, answered };

byte wire = 0;          /* requests written and not read yet */
byte runs = 0;
byte rejections = 0;    /* rejections on their way back */
byte answers = 0;       /* answers on their way back */
byte failures = 0;      /* failures of runs on their way back */
byte sends = 0;
mtype told = nothing;

active proctype Entry() {
again:
    if
    :: sends == SENDS -> told = not_run; goto end
    :: sends < SENDS ->
        if
        :: sends++; goto again              /* the connection did not come about */
        :: sends++; wire++                  /* written */
        fi
    fi;
    if
    :: rejections > 0 -> rejections--; goto again
    :: answers > 0 -> answers--; told = answered
    :: failures > 0 -> failures--;
#ifdef MUTANT_FAILURE
        goto again
#else
        told = answered
#endif
    :: true ->                              /* the connection was reset */
#ifdef MUTANT_RESET
        goto again
#else
        told = unknown
#endif
    :: true ->                              /* no answer in time */
#ifdef MUTANT_TIMEOUT
        told = not_run
#else
        told = unknown
#endif
    fi;
end: skip
}

active proctype Server() {
    do
    :: atomic { wire > 0 -> wire--;
        if
        :: runs++; if :: answers++ :: failures++ fi; assert(runs <= 1); assert(told != not_run)
        :: rejections++
        fi }
    :: timeout -> break
    od;
    assert(told != not_run || runs == 0)
}
