/* The duty of placing layers, and orders that are carried out late.
 *
 * Two entries take the duty by appending to the store at the end that they had read;
 * the offset of the record is the fencing number. Either may take the other for silent
 * at any moment. Orders may be late in the network and overtaken by newer ones; the
 * server refuses a number lower than one it has seen, and forgets it when it restarts
 * empty. An entry that was refused has lost the duty.
 *
 * MUTANT_ANYWHERE: the record is appended wherever the topic ends by now, and its
 *   number is what the entry had read.
 * MUTANT_STUBBORN: an entry that was refused goes on with its number.
 */

#define LAST 4

byte end = 0;               /* records in the topic */
byte taken[LAST];           /* how often each number was taken */
byte highest = 0;           /* highest number that the server has seen */
byte executed = 0;          /* number of the last order carried out */
byte wire[2];               /* an order of each entry on its way; its number, or 0 */
bool fenced[2];             /* the server's refusal is on its way back */
byte restarts = 0;

proctype Entry(byte me) {
    byte seen, number;
    byte refusals = 0;
take:
    if
    :: end == LAST -> goto done
    :: atomic { end < LAST -> seen = end }
    fi;
    atomic {
#ifdef MUTANT_ANYWHERE
        if
        :: end == LAST -> goto done
        :: else -> end++; number = seen + 1
        fi;
#else
        if
        :: end != seen -> goto take         /* another record came first */
        :: else -> end++; number = seen + 1
        fi;
#endif
        taken[number - 1]++;
        assert(taken[number - 1] <= 1)
    };
    do
    :: atomic { wire[me] == 0 -> wire[me] = number }
    :: fenced[me] -> fenced[me] = false; refusals++;
#ifdef MUTANT_STUBBORN
        assert(refusals <= 1)
#else
        refusals = 0; goto take
#endif
    :: goto take                            /* the duty is taken anew */
    :: break
    od;
done: skip
}

proctype Server() {
    byte me;
    byte steps = 0;
    do
    :: steps < 8 -> steps++;
        if
        :: atomic { wire[0] != 0 -> me = 0 }
        :: atomic { wire[1] != 0 -> me = 1 }
        :: atomic { restarts < 1 -> restarts++; highest = 0; executed = 0; me = 2 }
        :: skip; me = 2
        fi;
        if
        :: me == 2 -> skip
        :: else -> atomic {
            if
            :: wire[me] < highest -> fenced[me] = true
            :: else ->
                highest = wire[me];
                assert(wire[me] >= executed);
                executed = wire[me]
            fi;
            wire[me] = 0 }
        fi
    :: else -> break
    od
}

init {
    atomic { run Entry(0); run Entry(1); run Server() }
}
