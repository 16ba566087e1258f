/* When an entry may give up a run of a stream that its caller reads.
 *
 * An engine writes events. It may die; its run is then over. Surroundings let another
 * path have room, and allow a repeat, or not, at any time. The entry may take a living
 * engine for dead at any time. It goes on elsewhere only with a path and a repeat, and
 * breaks the answer off only where the run is over and its caller waits no more.
 *
 * MUTANT_CLOSE_FIRST: a run is closed before it is known that another one may begin.
 * MUTANT_HALF: room is asked for before the run is closed, a repeat after it.
 */

#define EVENTS 3
#define DEATHS 2
#define CHANGES 4

bool open = true;       /* the present run is open, and its engine lives */
bool room = false;
bool repeat = false;
byte passed = 0;        /* events passed on */
byte deaths = 0;
byte changes = 0;
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
    :: atomic { changes < CHANGES -> changes++; repeat = !repeat }
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
        :: room && repeat -> repeat = false; open = true
        :: else -> gave_up = true; broken = true
        fi
#else
#ifdef MUTANT_HALF
        if
        :: room -> open = false;
            if
            :: repeat -> repeat = false; open = true
            :: else -> gave_up = true; broken = true
            fi
        :: else
        fi
#else
        if
        :: room && repeat -> repeat = false
        :: else                             /* the run stays open */
        fi
#endif
#endif
        }
    :: atomic { !open && !whole && !broken ->   /* the run is over */
        if
        :: room && repeat -> repeat = false; open = true
        :: broken = true                    /* its caller waits no more */
        fi }
    :: broken -> break
    od;
    assert(!gave_up);
    assert(whole || deaths > 0)
}
