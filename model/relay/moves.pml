/* When an entry may give up a run of a stream that its caller reads.
 *
 * An engine writes events. It may die; its run is then over. Surroundings let another
 * path have room, and allow a retry, or not, at any time. The entry may take a living
 * engine for dead at any time. It begins another run only with a path and a retry, beside
 * the present one, which it closes once the other is accepted. It breaks the answer off
 * only where no run is open and its caller waits no more.
 *
 * MUTANT_CLOSE_FIRST: a run is closed before it is known that another one may begin.
 * MUTANT_HALF: room is asked for before the run is closed, a retry after it.
 * MUTANT_UNHEARD: a run is closed when the next one is sent, before its engine accepts it.
 */

#define EVENTS 3
#define DEATHS 2
#define CHANGES 4

bool open = true;       /* the present run is open, and its engine lives */
bool room = false;
bool retry = false;
byte passed = 0;        /* events passed on */
byte deaths = 0;
byte changes = 0;
bool standby = false;   /* another run was sent beside the present one, and not heard */
bool whole = false;
bool broken = false;
bool gave_up = false;   /* the entry closed a run that was open, with nothing to follow */

active proctype Engine() {
    do
    :: atomic { open && passed < EVENTS -> passed++;
        if
        :: passed == EVENTS -> whole = true; open = false
        :: else
        fi }
    :: atomic { open && deaths < DEATHS -> deaths++; open = false }
    :: whole || broken -> break
    od
}

active proctype Surroundings() {
    do
    :: atomic { changes < CHANGES -> changes++; room = !room }
    :: atomic { changes < CHANGES -> changes++; retry = !retry }
    :: whole || broken || changes == CHANGES -> break
    od
}

active proctype Entry() {
    do
    :: whole -> break
    :: atomic { open && !whole ->           /* the engine is taken for dead */
#ifdef MUTANT_CLOSE_FIRST
        open = false;
        if
        :: room && retry -> retry = false; open = true
        :: else -> gave_up = true; broken = true
        fi
#else
#ifdef MUTANT_HALF
        if
        :: room -> open = false;
            if
            :: retry -> retry = false; open = true
            :: else -> gave_up = true; broken = true
            fi
        :: else
        fi
#else
        if
        :: room && retry && !standby -> retry = false; standby = true;
#ifdef MUTANT_UNHEARD
            open = false
#endif
        :: else                             /* the run stays open */
        fi
#endif
#endif
        }
    :: atomic { standby && !whole ->        /* the engine of the other run answers */
        standby = false;
        if
        :: open = true                      /* accepted: it is the present run now */
        :: skip                             /* rejected: the run that is open is kept */
        fi;
#ifdef MUTANT_UNHEARD
        if
        :: !open -> gave_up = true; broken = true
        :: else
        fi
#endif
        }
    :: atomic { !open && !standby && !whole && !broken ->   /* no run is open */
        if
        :: room && retry -> retry = false; open = true
        :: broken = true                    /* its caller waits no more */
        fi }
    :: broken -> break
    od;
    assert(!gave_up);
    assert(whole || deaths > 0)
}
