/* Paths and a server that starts again under its name.
 *
 * A server holds a layer or nothing. It writes entries that tell its start and what it
 * holds; each entry also counts on within one start. Entries are read in the order in
 * which they arrive, and one of them may be held up and arrive after later ones. A
 * report, asked for at any moment, tells the start alone. The entry of this system keeps
 * what it believes of the newest start, and sends requests along a path that names the
 * layer while it believes the server to hold it. A server that does not hold it refuses,
 * and says so.
 *
 * What must hold: once the entry knows of a start, no path rests on what an earlier one
 * held; and what it believes last is what the server told last.
 *
 * MUTANT_NAME: beliefs are kept under the server's name alone, so that an entry of an
 *   earlier start that arrives late counts.
 * MUTANT_COUNT: counts are compared across starts, so that a later start's first entry
 *   looks old.
 * MUTANT_REPORT: a report that tells a later start leaves the layers in place.
 */

#define STARTS 3
#define WRITES 5

byte born = 1;              /* start of the server */
byte count = 0;             /* entries of this start */
bool holds = false;         /* whether it holds the layer */
byte writes = 0;

byte held_born = 0;         /* an entry that is held up; 0 for none */
byte held_count;
bool held_holds;
byte line_born = 0;         /* the entry to be read next; 0 for none */
byte line_count;
bool line_holds;

byte known_born = 0;        /* what this system's entry believes */
byte known_count = 0;
bool known_holds = false;
byte based_on = 0;          /* start whose word the belief in the layer rests on */

proctype Server() {
    do
    :: atomic { writes < WRITES && line_born == 0 -> writes++; count++;
        if
        :: line_born = born; line_count = count; line_holds = holds
        :: held_born == 0 -> held_born = born; held_count = count; held_holds = holds
        fi }
    :: atomic { held_born != 0 && line_born == 0 -> line_born = held_born;
        line_count = held_count; line_holds = held_holds; held_born = 0 }
    :: atomic { !holds -> holds = true }                /* an order is carried out */
    :: atomic { born < STARTS -> born++; count = 0; holds = false }
    :: writes == WRITES && held_born == 0 -> break
    od
}

inline believe(start, number, layer) {
    known_born = start;
    known_count = number;
    known_holds = layer;
    based_on = start
}

proctype Entry() {
    do
    :: atomic { line_born != 0 ->
        if
#ifdef MUTANT_NAME
        :: believe(line_born, line_count, line_holds)
#else
#ifdef MUTANT_COUNT
        :: line_count < known_count -> skip
        :: line_count >= known_count -> believe(line_born, line_count, line_holds)
#else
        :: line_born < known_born -> skip
        :: line_born == known_born && line_count < known_count -> skip
        :: else -> believe(line_born, line_count, line_holds)
#endif
#endif
        fi;
        /* nothing newer was ever read than what is believed now */
        assert(line_born <= known_born);
        assert(line_born < known_born || line_count <= known_count);
        line_born = 0 }
    :: atomic { known_born != 0 && born > known_born ->     /* a report */
        known_born = born; known_count = 0;
#ifndef MUTANT_REPORT
        known_holds = false; based_on = born
#endif
        }
    :: atomic { known_holds -> assert(based_on == known_born) }
    :: timeout -> break
    od
}

proctype Reader() {
    /* the start that the entry knows never goes back */
    byte seen = 0;
    do
    :: atomic { known_born >= seen -> seen = known_born }
    :: atomic { known_born < seen -> assert(false) }
    :: timeout -> break
    od
}

init {
    atomic { run Server(); run Entry(); run Reader() }
}
