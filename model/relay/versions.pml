/* Configuration through a store that turns entries away, and through peers.
 *
 * The operator appends versions; a version takes a key away. An entry reads the store
 * unless it is turned away, tells its peer what it has in force, and may restart.
 * Answers of the store and messages between entries may be late, and an answer may hold
 * only a part of what has come. An entry puts a version in force only if it is newer
 * than its own, and refuses every request while it has none.
 *
 * Time is the number of versions that were appended: version v is the newest at time v
 * only. An entry believes its version to be the newest at some time; were that time
 * after the next version came, it would refuse by an old version without reading.
 *
 * MUTANT_LAST: what a peer told last is put in force whatever its version.
 * MUTANT_EMPTY: an entry without configuration refuses keys as unknown.
 * MUTANT_PART: an answer that holds only a part is taken for the newest.
 * MUTANT_ANSWER: an answer is taken for the newest when it arrives.
 * MUTANT_MESSAGE: a message is taken to be composed when it arrives.
 */

#define ENTRIES 2
#define LAST 3

byte stored = 0;                /* newest version; 0 before the first */
byte in_force[ENTRIES];
byte seen[ENTRIES];             /* newest version in force in this incarnation */
byte confirmed[ENTRIES];        /* when that was the newest, as an entry believes */
byte answer[ENTRIES];           /* a version that the store sent; 0 for none */
byte asked[ENTRIES];            /* when it was asked for */
bool part[ENTRIES];             /* whether newer ones are not in the answer */
byte message[ENTRIES];          /* a version on its way to an entry; 0 for none */
byte told[ENTRIES];             /* when its sender believes it was the newest */
byte restarts = 0;
bool denied = false;            /* a key of every version was refused as unknown */

inline accept(me, version) {
    in_force[me] = version;
    assert(in_force[me] >= seen[me]);
    seen[me] = in_force[me]
}

inline confirm(me, at) {
    if
    :: at > confirmed[me] -> confirmed[me] = at
    :: else -> skip
    fi;
    assert(confirmed[me] <= in_force[me])
}

inline take_answer(me) {
    if
    :: answer[me] > in_force[me] -> accept(me, answer[me])
    :: else -> skip
    fi;
#ifdef MUTANT_PART
    confirm(me, asked[me]);
#else
    if
    :: !part[me] ->
#ifdef MUTANT_ANSWER
        confirm(me, stored)
#else
        confirm(me, asked[me])
#endif
    :: else -> skip
    fi;
#endif
    answer[me] = 0
}

inline take_message(me) {
#ifdef MUTANT_LAST
    accept(me, message[me]);
#else
    if
    :: message[me] > in_force[me] -> accept(me, message[me])
    :: else -> skip
    fi;
#endif
    if
    :: message[me] == in_force[me] ->
#ifdef MUTANT_MESSAGE
        confirm(me, stored)
#else
        confirm(me, told[me])
#endif
    :: else -> skip
    fi;
    message[me] = 0
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
        :: atomic { answer[me] == 0 && stored > 0 ->    /* the store answers a read */
            asked[me] = stored; answer[me] = stored; part[me] = false;
            if
            :: stored > 1 -> answer[me] = stored - 1; part[me] = true
            :: true
            fi }
        :: atomic { answer[me] != 0 -> take_answer(me) }
        :: atomic { in_force[me] > 0 && message[1 - me] == 0 ->
            message[1 - me] = in_force[me]; told[1 - me] = confirmed[me] }
        :: atomic { message[me] != 0 -> take_message(me) }
        :: atomic { restarts < 1 -> restarts++;
            in_force[me] = 0; seen[me] = 0; confirmed[me] = 0; answer[me] = 0 }
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
