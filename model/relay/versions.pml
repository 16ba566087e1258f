/* Configuration through a store that turns entries away, and through peers.
 *
 * The operator appends versions; a version takes a key away. An entry reads the store
 * unless it is turned away, tells its peer what it has in force, and may restart.
 * Messages between entries may be late. An entry puts a version in force only if it is
 * newer than its own, and refuses every request while it has none.
 *
 * MUTANT_LAST: what a peer told last is put in force whatever its version.
 * MUTANT_EMPTY: an entry without configuration refuses keys as unknown.
 */

#define ENTRIES 2
#define LAST 3

byte stored = 0;                /* newest version; 0 before the first */
byte in_force[ENTRIES];
byte seen[ENTRIES];             /* newest version in force in this incarnation */
byte message[ENTRIES];          /* a version on its way to an entry; 0 for none */
byte restarts = 0;
bool denied = false;            /* a key of every version was refused as unknown */

inline accept(me, version) {
    in_force[me] = version;
    assert(in_force[me] >= seen[me]);
    seen[me] = in_force[me]
}

proctype Operator() {
    do
    :: stored < LAST -> stored++
    :: stored == LAST -> break
    od
}

proctype Entry(byte me) {
    byte steps = 0;
    do
    :: steps < 6 -> steps++;
        if
        :: atomic { stored > in_force[me] -> accept(me, stored) }
        :: atomic { in_force[me] > 0 && message[1 - me] == 0 ->
            message[1 - me] = in_force[me] }
        :: atomic { message[me] != 0 ->
#ifdef MUTANT_LAST
            accept(me, message[me]);
#else
            if
            :: message[me] > in_force[me] -> accept(me, message[me])
            :: else -> skip
            fi;
#endif
            message[me] = 0 }
        :: atomic { restarts < 1 -> restarts++; in_force[me] = 0; seen[me] = 0 }
        :: atomic { in_force[me] == 0 ->    /* a request with a key of every version */
#ifdef MUTANT_EMPTY
            denied = true;
#endif
            assert(!denied) }
        :: skip                             /* turned away, and told nothing */
        fi
    :: else -> break
    od
}

init {
    atomic { run Operator(); run Entry(0); run Entry(1) }
}
